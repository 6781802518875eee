import {ClaimEvent} from './claim_event';
import {Generation} from './generation';

/** Metadata of a write of a generation. */
export interface GenerationWrite {
  readonly term: number;
  readonly owner: string;
  readonly operationId: string;
  /** Wall-clock time in ms since the epoch. */
  readonly now: number;
  /** Minimum time for which claims are kept, in ms. */
  readonly retentionMs: number;
}

/**
 * Number of generations per retention period; a generation is sealed at this
 * fraction of the period.
 */
const GENERATIONS_PER_RETENTION = 8;

/** Length of the events' JSON text above which a generation is sealed. */
const SEALED_CHARACTERS = 32_768;

/**
 * Appends events to the last generation, or to a new one if the last is sealed.
 *
 * @param last the last generation; undefined if there is none
 * @param events events to append
 * @param write metadata of the write
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
 * Returns the generations whose claims have expired and may be deleted.
 *
 * @param generations all generations, oldest first; the last one is always kept
 * @param now wall-clock time in ms since the epoch
 * @param retentionMs minimum time for which claims are kept, in ms
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
