import {performance} from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {createJsonServer} from './json_server.mjs';

const HEARTBEAT_MS = 1_500;
/** Heartbeats of silence after which the entry of a worker is removed. */
const MISSED_HEARTBEATS = 3;
const MAX_HOLD_MS = 10_000;
const STOP_MS = 100;
/** Least time in ms that a worker serves after it has said that it drains. */
const DRAIN_MS = 2_000;
/** Time in ms from the start of a lasting task until it is at work. */
const STARTUP_MS = 300;
const GANG_TIMEOUT_MS = 3_000;
/** Work in ms after which a task that saves its progress saves it again. */
const CHECKPOINT_MS = 2_000;

/**
 * Creates a stand-in for a worker on one machine, as PROTOCOL.md describes it.
 *
 * The spec of a submission is JSON text: `workMs` is the work of a task, and a
 * task with `lasts` runs until it is stopped. With `gang`, the number of its
 * members, they work from the moment at which all of one run are present with
 * the same checkpoint, and their tasks save their progress.
 *
 * @param options its id, machine, service, address, the store and the record
 */
export function createWorker({
  id,
  machine,
  service,
  host,
  store,
  record,
  gangs,
  upMs = 0,
  cpu = 16_000,
  kind = 'a',
}) {
  const capacity = {cpu, memMb: 32_768, gpu: 0};
  let life;
  let isDraining = false;
  let port = 0;
  let sequence = 0;
  let removal;

  function register() {
    sequence += 1;
    if (store.isDown()) return;
    store.write(`servers/${id}`, {
      service,
      address: `${host}:${port}`,
      zone: 'zone-a',
      version: 'v1',
      slots: 8,
      state: isDraining ? 'draining' : 'ready',
      ...(isDraining ? {remainingMs: DRAIN_MS} : {}),
      coldLeftMs: 0,
      capacity,
      labels: [kind, 'r1-1'],
      machine,
      born: life.born,
      clockMs: life.getClockMs(),
      sequence,
    });
  }

  async function start(clockMs) {
    clearTimeout(removal);
    life = createLife({id, capacity, record, gangs, clockMs});
    const {handle} = life;
    life.server = createJsonServer(handle);
    port = await life.server.listen(host, port);
    sequence = 0;
    register();
    life.heartbeat = setInterval(register, HEARTBEAT_MS);
  }

  return {
    id,
    machine,
    service,
    capacity,
    start: () => start(upMs),
    isUp: () => life !== undefined,
    /** Tasks that run now, as `task/run`. */
    listRuns: () => (life ? life.listRuns() : []),
    countUsedCpu: () => (life ? life.countUsedCpu() : 0),
    async crash() {
      const ended = life;
      life = undefined;
      clearInterval(ended.heartbeat);
      ended.kill();
      removal = setTimeout(
        () => store.remove(`servers/${id}`),
        MISSED_HEARTBEATS * HEARTBEAT_MS,
      );
      await ended.server.close();
    },
    /** Says that it drains; it serves on until it leaves. */
    drain() {
      isDraining = true;
      register();
    },
    /** Leaves after it has drained: its entry goes, and all that it runs ends. */
    async leave() {
      const ended = life;
      life = undefined;
      clearInterval(ended.heartbeat);
      ended.kill();
      store.remove(`servers/${id}`);
      await ended.server.close();
    },
    /**
     * Starts again under the same id; its counts and its clock start anew.
     *
     * @param newPort whether it listens on another port than before
     */
    restart(newPort = false) {
      if (newPort) port = 0;
      return start(0);
    },
    async close() {
      clearTimeout(removal);
      if (!life) return;
      clearInterval(life.heartbeat);
      life.kill(false);
      await life.server.close();
    },
  };
}

function writeCheckpoint(progressMs) {
  if (progressMs === 0) return '';
  return Math.round(progressMs).toString(16).padStart(16, '0');
}

/**
 * Creates the gangs of all workers. The members of one run that carry the same
 * checkpoint begin together once all are present; when one ends otherwise than
 * `done`, the others end as `broken`.
 */
export function createGangs() {
  const present = new Map();

  function getKey({task, run, checkpointData}) {
    const step = task.slice(0, task.lastIndexOf('.'));
    return `${step}/${run}/${checkpointData}`;
  }

  return {
    join(member) {
      const key = getKey(member);
      const members = present.get(key) ?? new Set();
      present.set(key, members);
      members.add(member);
      if (members.size < member.gang) return;
      for (const each of members) each.begin();
    },
    leave(member, how) {
      if (!member.gang) return;
      const members = present.get(getKey(member));
      members?.delete(member);
      const hasBegun = member.at !== undefined;
      if (!hasBegun || !members) return;
      for (const each of [...members]) {
        each.end(how === 'done' ? 'done' : 'broken');
      }
    },
  };
}

function createLife({id, capacity, record, gangs, clockMs}) {
  const born = Date.now();
  const startedAt = performance.now();
  const runs = new Map();
  const highestEnded = new Map();
  const waiting = new Set();
  let ended = [];
  let endCount = 0;
  let fence = 0;
  let leaseUntil = 0;
  let leaseTimer;

  const getClockMs = () => Math.round(clockMs + performance.now() - startedAt);

  function answer(status, fields = {}) {
    return {status, body: {clockMs: getClockMs(), born, ...fields}};
  }

  function refuse(reason) {
    return answer(409, {reason});
  }

  function extendLease(untilMs) {
    const until = Math.min(untilMs, getClockMs() + MAX_HOLD_MS);
    leaseUntil = Math.max(leaseUntil, until);
    clearTimeout(leaseTimer);
    leaseTimer = setTimeout(
      () => [...runs.values()].forEach(run => end(run, 'lapsed')),
      Math.max(0, leaseUntil - getClockMs()),
    );
  }

  function end(run, how) {
    if (runs.get(run.task) !== run) return;
    clearTimeout(run.timer);
    if (how === 'stopped') run.saved = getProgress(run);
    runs.delete(run.task);
    noteEnded(run.task, run.run);
    endCount += 1;
    const saved = writeCheckpoint(run.saved);
    ended.push([endCount, run.task, run.run, how, saved]);
    const fields = {worker: id, task: run.task, run: run.run, how, n: endCount};
    record('end', saved === '' ? fields : {...fields, saved});
    gangs.leave(run, how);
    for (const wake of [...waiting]) wake();
  }

  function noteEnded(task, run) {
    highestEnded.set(task, Math.max(highestEnded.get(task) ?? 0, run));
  }

  const countUsedCpu = () =>
    [...runs.values()].reduce((sum, {cpu}) => sum + cpu, 0);

  /** Returns the work in ms that a run has done, with that of its checkpoint. */
  function getProgress({at, from, gang}) {
    return at === undefined || !gang ? from : from + performance.now() - at;
  }

  /** Lets a run work, once its gang is complete if it has one. */
  function begin(run) {
    run.at = performance.now();
    clearTimeout(run.timer);
    if (run.lasts) return;
    run.timer = setTimeout(() => end(run, 'done'), run.workMs - run.from);
  }

  function save(run) {
    const progress = getProgress(run);
    if (progress >= run.saved + CHECKPOINT_MS) {
      run.saved = progress - ((progress - run.from) % CHECKPOINT_MS);
    }
  }

  function startRun({task, run, spec, untilMs, checkpointData = ''}) {
    if (runs.get(task)?.run === run) return answer(200);
    if (untilMs <= getClockMs()) return refuse('late');
    extendLease(untilMs);
    if (run <= (highestEnded.get(task) ?? 0)) return refuse('old');
    const {workMs, lasts = false, cpu, gang} = JSON.parse(spec);
    if (runs.has(task) || countUsedCpu() + cpu > capacity.cpu) {
      return refuse('room');
    }
    const from = parseInt(checkpointData || '0', 16);
    const started = {task, run, workMs, lasts, cpu, gang, from, saved: from};
    runs.set(task, started);
    const fields = {worker: id, task, run};
    record('start', gang ? {...fields, checkpointData} : fields);
    if (!gang) {
      begin(started);
      return answer(200);
    }
    started.checkpointData = checkpointData;
    started.begin = () => begin(started);
    started.end = how => end(started, how);
    started.timer = setTimeout(() => end(started, 'alone'), GANG_TIMEOUT_MS);
    gangs.join(started);
    return answer(200);
  }

  function stopRun({task, run}) {
    noteEnded(task, run);
    const running = runs.get(task);
    if (running?.run === run) {
      setTimeout(() => end(running, 'stopped'), STOP_MS);
    }
    return answer(200);
  }

  function getPercent({lasts, workMs, at, from}) {
    const ranMs = at === undefined ? 0 : performance.now() - at;
    if (lasts) return ranMs < STARTUP_MS ? 0 : 100;
    return Math.min(99, Math.floor(((from + ranMs) / workMs) * 100));
  }

  async function hold({lastSeen = 0, untilMs, waitMs = 0}) {
    const noted = ended.filter(([n]) => n <= lastSeen);
    for (const [n, task, run, how] of noted) {
      record('noted', {worker: id, task, run, how, n, lastSeen});
    }
    ended = ended.filter(([n]) => n > lastSeen);
    if (untilMs !== undefined) extendLease(untilMs);
    if (ended.length === 0 && waitMs > 0) {
      await new Promise(resolve => {
        const timer = setTimeout(done, waitMs);
        function done() {
          clearTimeout(timer);
          waiting.delete(done);
          resolve();
        }
        waiting.add(done);
      });
    }
    for (const run of runs.values()) if (run.gang) save(run);
    return answer(200, {
      running: [...runs.values()].map(run => [
        run.task,
        run.run,
        writeCheckpoint(run.saved),
        getPercent(run),
        run.lasts ? 0 : run.cpu,
      ]),
      ended: ended.slice(0, 500),
    });
  }

  async function handle({path, headers, body}) {
    if (headers['x-expect-instance'] !== id) return {status: 421};
    const given = body.fence ?? 0;
    if (given < fence) return refuse('fence');
    fence = given;
    switch (path) {
      case '/-/run-start':
        return startRun(body);
      case '/-/run-stop':
        return stopRun(body);
      case '/-/pace':
        return answer(200);
      case '/-/hold':
        return hold(body);
      default:
        return {status: 400};
    }
  }

  return {
    born,
    getClockMs,
    handle,
    countUsedCpu,
    listRuns: () => [...runs.values()].map(({task, run}) => `${task}/${run}`),
    kill(isCrash = true) {
      clearTimeout(leaseTimer);
      for (const run of runs.values()) {
        clearTimeout(run.timer);
        if (!isCrash) continue;
        record('lost', {worker: id, task: run.task, run: run.run});
      }
      const lost = [...runs.values()];
      runs.clear();
      if (isCrash) lost.forEach(run => gangs.leave(run, 'lost'));
      for (const wake of [...waiting]) wake();
    },
  };
}
