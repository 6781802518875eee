import {ClaimEvent} from './claim_event';
import {Generation} from './generation';

/** Who writes a generation, and when. */
export interface GenerationWrite {
  readonly term: number;
  readonly owner: string;
  readonly operationId: string;
  /** Wall-clock time in ms since the epoch. */
  readonly now: number;
  /** Time after which claims may be forgotten, in ms. */
  readonly retentionMs: number;
}

/** Generations that a retention is divided into. */
const GENERATIONS_PER_RETENTION = 8;

/** Length of the events' JSON text at which a generation is sealed. */
const SEALED_CHARACTERS = 32_768;

/**
 * Adds events to the last generation, or to a new one after a sealed one.
 *
 * @param last the last generation, if there is one
 * @param events events to add
 * @param write who writes
 * @returns the generation to store
 */
export function createNextGeneration(
  last: Generation | undefined,
  events: readonly ClaimEvent[],
  write: GenerationWrite,
): Generation {
  const {term, owner, operationId, now, retentionMs} = write;
  const open = last && !last.sealed ? last : undefined;
  const openedAt = open?.openedAt ?? now;
  const all = [...(open?.events ?? []), ...events];
  const old = now - openedAt > retentionMs / GENERATIONS_PER_RETENTION;
  const full = JSON.stringify(all).length > SEALED_CHARACTERS;
  return {
    number: open?.number ?? (last?.number ?? 0) + 1,
    term,
    owner,
    operationId,
    openedAt,
    writtenAt: now,
    sealed: old || full,
    events: all,
  };
}

/**
 * Finds the generations whose claims may be forgotten.
 *
 * @param generations all generations, oldest first; the last one always stays
 * @param now wall-clock time in ms since the epoch
 * @param retentionMs time that a claim is kept at least
 */
export function findExpired(
  generations: readonly Generation[],
  now: number,
  retentionMs: number,
): readonly Generation[] {
  const older = generations.slice(0, -1);
  const kept = older.findIndex(g => now - g.writtenAt <= retentionMs);
  return kept < 0 ? older : older.slice(0, kept);
}
