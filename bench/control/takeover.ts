import {delay} from '../../src/state';
import {EntryProcess, ProcessSite} from '../shared';
import {StoreReader} from './store_reader';

const POLL_MS = 5;
const LIMIT_MS = 20_000;

/**
 * Ends a pool's leader with a signal and measures the time to the next leader.
 *
 * @param site the site
 * @param store reads who leads
 * @param pool the pool
 * @param signal SIGKILL for a crash, SIGTERM for a planned stop
 * @returns time from the signal to a higher term of another member, in ms
 */
export async function measureTakeover(
  site: ProcessSite,
  store: StoreReader,
  pool: string,
  signal: NodeJS.Signals,
): Promise<number> {
  const leader = await findLeader(site, store, pool);
  const before = (await store.readRecord(pool))?.term ?? 0;
  const startedAt = performance.now();
  const ended = leader.child.end(signal);
  await waitFor(async () => {
    const record = await store.readRecord(pool);
    return record !== undefined && record.term > before;
  });
  const passedMs = performance.now() - startedAt;
  await ended;
  await leader.restart();
  return passedMs;
}

async function findLeader(
  site: ProcessSite,
  store: StoreReader,
  pool: string,
): Promise<EntryProcess> {
  let leader: EntryProcess | undefined;
  await waitFor(async () => {
    const claim = await store.readClaim(pool);
    const record = await store.readRecord(pool);
    const settled = claim !== undefined && record?.leader === claim.memberId;
    leader = site.entries.find(entry => settled && entry.id === claim.memberId);
    return leader !== undefined;
  });
  return leader as EntryProcess;
}

async function waitFor(isDone: () => Promise<boolean>): Promise<void> {
  const endsAt = performance.now() + LIMIT_MS;
  while (!(await isDone())) {
    if (performance.now() > endsAt) throw new Error('no other leader came');
    await delay(POLL_MS);
  }
}
