// Submissions meet a store that loses the answers of some writes and carries
// these out late; what isn't accepted in time is cancelled by its requester.
import {dirname} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
  BROKEN,
  HELD,
  NOT_RUN,
  TROUBLE,
  createId,
  runCase,
  startDeployment,
} from '../stand_ins_2/deployment.mjs';

/** The store's impairment, as in a site's list of troubles. */
const LOST_SHARE = 0.35;
const LOST_FOR_MS = 4_500;
const LATE_MS = [1_000, 6_000];
/** Submissions per second, and how long their requesters wait. */
const PER_S = 40;
const LIMIT_MS = 3_000;
const MAX_WINDOWS = 8;
/** Cancels answered with 410, after an unknown outcome, that are awaited. */
const ENOUGH = 3;
const CONTACT_MS = 3_000;
const CANCEL_MS = 3_000;
const STOP_MS = 400;
const WORK_MS = 40_000;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({record, onEnd}) => {
    const deployment = await startDeployment({
      record,
      onEnd,
      services: [{name: 'desk', count: 8}],
      routes: [
        {
          name: 'q-desk',
          host: 'queues.example',
          prefix: '/desk/',
          service: 'desk',
        },
      ],
      getWork: () => ({ms: WORK_MS, cpu: 10}),
    });
    const {store, hosts, workers} = deployment;
    let lossy = false;
    store.onCall = ({method, path, body}) => {
      if (!lossy || method !== 'POST' || path !== '/-/kv-txn') return undefined;
      if (Math.random() >= LOST_SHARE) return undefined;
      const lateMs = LATE_MS[0] + Math.random() * (LATE_MS[1] - LATE_MS[0]);
      const keys = (body.puts ?? []).map(({key}) => key);
      record('write late', {lateMs: Math.round(lateMs), keys});
      return {lost: true, lateMs};
    };
    /** Cancels that were answered, by id, with the time of the answer. */
    const cancelled = new Map();

    async function request(i) {
      const host = hosts[i % hosts.length];
      const path = `/desk/${createId()}`;
      const answer = await deployment.submit(
        host,
        path,
        {
          spec: path,
          steps: [{count: 1, cpu: 10, memMb: 16, estimateMs: WORK_MS}],
        },
        LIMIT_MS,
      );
      if (answer.status === 200) {
        // Requesters of the control cancel what they have, in the same way.
        if (TROUBLE || i % 50 !== 0) return;
      }
      const reply = await deployment.cancel(host, path, LIMIT_MS);
      const isDone =
        reply.status === 410 || Math.floor(reply.status / 100) === 2;
      if (!isDone) return;
      cancelled.set(path.split('/').pop(), {
        at: performance.now(),
        submitted: answer.status,
        status: reply.status,
      });
    }

    const requests = [];
    for (let window = 0; window < MAX_WINDOWS; window += 1) {
      lossy = TROUBLE;
      record('window', {window, lossy});
      const until = performance.now() + LOST_FOR_MS;
      for (let i = 0; performance.now() < until; i += 1) {
        requests.push(request(i));
        await delay(1_000 / PER_S);
      }
      lossy = false;
      record('window ends', {window});
      await delay(CONTACT_MS);
      const answered = [...cancelled.values()];
      const isMet = ({submitted, status}) =>
        submitted !== 200 && status === 410;
      if (answered.filter(isMet).length >= ENOUGH) break;
    }
    await Promise.all(requests);
    if (cancelled.size === 0) {
      return {result: NOT_RUN, words: 'no cancel was answered'};
    }
    // The last write is carried out by then; after that all is steady.
    await delay(LATE_MS[1] + CONTACT_MS + CANCEL_MS + STOP_MS);
    const now = performance.now();
    const running = new Set();
    for (const worker of workers.all) {
      for (const task of worker.runs.keys()) running.add(task.split('.')[0]);
    }
    const broken = [...cancelled].filter(([id]) => running.has(id));
    for (const [id, {at, submitted, status}] of cancelled) {
      const state = await deployment.read(hosts[0], `/desk/${id}`);
      record('cancelled', {
        id,
        submitted,
        cancel: status,
        agoMs: Math.round(now - at),
        runs: running.has(id),
        state: state.body?.state ?? state.status,
      });
    }
    const words = `${cancelled.size} cancels answered, ${broken.length} run on`;
    return {result: broken.length > 0 ? BROKEN : HELD, words};
  },
);
