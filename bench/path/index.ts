import {request} from 'undici';
import {delay} from '../../src/state';
import {Bench, atLeast, atMost, createProcessSite} from '../shared';

const FIRST_PORT = 21_000;
const ENTRIES = 3;
const SECONDS = 5;
const CALLERS = 12;
const PAUSE_MS = 5;

/** Sends light traffic through three entry processes and kills one of them. */
export const runPathBench: Bench = async ({seed, quick, progress}) => {
  const site = await createProcessSite({
    entries: ENTRIES,
    firstPort: FIRST_PORT,
  });
  progress(`${ENTRIES} entry processes are ready`);
  const endsAt = performance.now() + (quick ? SECONDS : SECONDS * 3) * 1_000;
  let answered = 0;
  let refused = 0;
  const callers = Array.from({length: CALLERS}, async (_, i) => {
    for (let n = i; performance.now() < endsAt; n += 1) {
      const entry = site.entries[n % (ENTRIES - 1)];
      const pool = site.site.pools[n % site.site.pools.length];
      const response = await request(
        `${entry.callerUrl}/services/${pool.name}/bench`,
      );
      await response.body.dump();
      if (response.statusCode === 200) answered += 1;
      else refused += 1;
      await delay(PAUSE_MS);
    }
  });
  await site.entries[ENTRIES - 1].child.end('SIGKILL');
  progress('an entry process was killed');
  await Promise.all(callers);
  await site.dispose();
  return {
    bench: 'path',
    seed,
    measures: [atLeast('answered', answered, 1), atMost('refused', refused, 0)],
  };
};
