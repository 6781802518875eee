import {delay} from '../../src/state';
import {findLowerBound} from '../../src/decisions/fleet';
import {createProfiles} from '../../src/stand_ins/site';
import {SelectorKind, Wave, WaveState} from '../../src/types';
import {callJson, createProcessSite} from '../shared';

/** Duration of a roll-out over processes, compared with its lower bound. */
export interface ProcessRollout {
  readonly site: string;
  readonly rolloutMs: number;
  readonly lowerBoundMs: number;
  /** Ratio of the duration to its lower bound. */
  readonly overLowerBound: number;
}

const FIRST_PORT = 25_000;
const POLL_MS = 50;
const TIMEOUT_MS = 120_000;

/** Rolls maintenance out to a site whose hosts are processes on loopback. */
export async function runProcessRollout(
  siteName: string,
  entries: number,
  rebootMs: number,
): Promise<ProcessRollout> {
  const site = await createProcessSite({
    siteName,
    entries,
    firstPort: FIRST_PORT,
    rebootMs,
  });
  try {
    const url = `${site.entries[0].operatorUrl}/v1/waves`;
    const startedAt = performance.now();
    const declared = (await callJson('POST', url, {
      selector: {kind: SelectorKind.All, name: ''},
      reason: 'bench',
      dueAt: Date.now() + TIMEOUT_MS,
    })) as Wave;
    await waitUntilDone(`${url}/${declared.id}`);
    const rolloutMs = performance.now() - startedAt;
    const lowerBoundMs = Math.max(
      ...createProfiles(site.site).map(profile =>
        findLowerBound(profile.hosts, profile.maxUnavailable, rebootMs),
      ),
    );
    const overLowerBound = rolloutMs / lowerBoundMs;
    return {site: siteName, rolloutMs, lowerBoundMs, overLowerBound};
  } finally {
    await site.dispose();
  }
}

async function waitUntilDone(url: string): Promise<void> {
  const deadline = performance.now() + TIMEOUT_MS;
  while (performance.now() < deadline) {
    const wave = (await callJson('GET', url)) as Wave;
    if (wave.state === WaveState.Done) return;
    await delay(POLL_MS);
  }
  throw new Error(`the wave did not end within ${TIMEOUT_MS} ms`);
}
