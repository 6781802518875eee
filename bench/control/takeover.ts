import {delay} from '../../src/state';
import {EntryProcess, ProcessSite} from '../shared';
import {StoreReader} from './store_reader';

const POLL_MS = 5;
const TIMEOUT_MS = 20_000;

/**
 * Sends a signal to a pool's leader and measures the time until another leader
 * is recorded.
 *
 * @param site the site
 * @param store reader of the leader records
 * @param pool name of the pool
 * @param signal SIGKILL to simulate a crash, SIGTERM for a planned stop
 * @returns time in ms from the signal until the pool record has a higher term
 */
export async function measureTakeover(
  site: ProcessSite,
  store: StoreReader,
  pool: string,
  signal: NodeJS.Signals,
): Promise<number> {
  const leader = await findLeader(site, store, pool);
  const previousTerm = (await store.readPoolRecord(pool))?.term ?? 0;
  const startedAt = performance.now();
  const ended = leader.child.end(signal);
  await waitFor(async () => {
    const record = await store.readPoolRecord(pool);
    return record !== undefined && record.term > previousTerm;
  });
  const elapsedMs = performance.now() - startedAt;
  await ended;
  await leader.restart();
  return elapsedMs;
}

async function findLeader(
  site: ProcessSite,
  store: StoreReader,
  pool: string,
): Promise<EntryProcess> {
  let leader: EntryProcess | undefined;
  await waitFor(async () => {
    const leaderRecord = await store.readLeaderRecord(pool);
    const poolRecord = await store.readPoolRecord(pool);
    const agreed =
      leaderRecord !== undefined &&
      poolRecord?.leader === leaderRecord.memberId;
    leader = site.entries.find(
      entry => agreed && entry.id === leaderRecord.memberId,
    );
    return leader !== undefined;
  });
  return leader as EntryProcess;
}

async function waitFor(isDone: () => Promise<boolean>): Promise<void> {
  const endsAt = performance.now() + TIMEOUT_MS;
  while (!(await isDone())) {
    if (performance.now() > endsAt) throw new Error('no leader within 20 s');
    await delay(POLL_MS);
  }
}
