// Stand-in of the workers and of their machines, after PROTOCOL.md.
import {performance} from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {end, serve} from './http.mjs';

const HEARTBEAT_MS = 1_500;
const MAX_LISTED_ENDS = 500;
const TICK_MS = 20;

/**
 * Creates the workers of a deployment.
 *
 * @param options the store, what a task takes, and what is told of each event
 */
export function createWorkers({
  store,
  record,
  getWork,
  holdMaxMs = 10_000,
  stopMs = 400,
  restoreMs = 250,
  gangTimeoutMs = 3_000,
  isBarred = () => false,
  onSeen = () => {},
  checkpointMs = 2_000,
}) {
  const all = [];
  /** Members of each run of a gang, by its name. */
  const gangs = new Map();
  /** Number of ends by how. */
  const ends = {};
  let nextId = 1;

  /** Returns the run of a gang to which a member belongs, if it is one. */
  function findGang(task, {run, work}) {
    if (!work.gang) return undefined;
    const name = `${task.slice(0, task.lastIndexOf('.'))}/${run}`;
    const gang = gangs.get(name) ?? {name, members: new Map()};
    gangs.set(name, gang);
    return gang;
  }

  /** Members work together once all are there and carry the same value. */
  function joinGang(task, member, endWith) {
    const gang = findGang(task, member);
    if (!gang) return;
    gang.members.set(task, {member, endWith});
    member.from = Infinity;
    member.waitsUntil = performance.now() + gangTimeoutMs;
    const {members} = gang;
    if (members.size < member.work.gang) return;
    const values = new Set(
      [...members.values()].map(each => each.member.saved),
    );
    record('gang present', {gang: gang.name, values: [...values]});
    if (values.size > 1) return;
    const from = performance.now() + (member.worked > 0 ? restoreMs : 0);
    for (const each of members.values()) {
      each.member.from = from;
      each.member.waitsUntil = Infinity;
    }
  }

  /** Ends the other members; the same end if they are done. */
  function leaveGang(task, member, how) {
    const gang = member.work.gang ? findGang(task, member) : undefined;
    if (!gang?.members.delete(task)) return;
    const others = [...gang.members.values()];
    gangs.delete(gang.name);
    if (how === 'alone') return others.forEach(each => each.endWith('alone'));
    for (const each of others) each.endWith(how === 'done' ? how : 'broken');
  }

  function createWorker({service, zone, machine, rack, kind, capacity}) {
    const worker = {
      id: '',
      service,
      zone,
      machine,
      kind: kind ?? 'standard',
      up: false,
      state: 'ready',
      runs: new Map(),
      start,
      crash,
      leave,
      setState,
      /** Returns `{lost: true, lateMs}` or `{status}` for a call, if any. */
      onCall: () => undefined,
      /** Called after a run has begun. */
      onBegun: () => {},
    };
    const labels = [kind ?? 'standard', rack ?? 'r1-1'];
    let server;
    let timer;
    let ticker;
    let address;
    let bornAt = 0;
    let zeroAt = 0;
    let fence = 0;
    let leaseUntil = 0;
    let lastEnd = 0;
    let sequence = 0;
    let ended = [];
    /** Highest run of each task that was stopped or ended here. */
    let over = new Map();
    const waiting = new Set();

    const getClock = () => Math.floor(performance.now() - zeroAt);

    function wake() {
      for (const each of [...waiting]) each();
    }

    function listEnd(task, run, how, saved) {
      lastEnd += 1;
      const member = worker.runs.get(task);
      ended.push([lastEnd, task, run, how, saved]);
      over.set(task, Math.max(over.get(task) ?? 0, run));
      worker.runs.delete(task);
      ends[how] = (ends[how] ?? 0) + 1;
      record('run ended', {worker: worker.id, task, run, how, saved});
      leaveGang(task, member, how);
      wake();
    }

    function tick() {
      const now = performance.now();
      for (const [task, each] of [...worker.runs]) {
        if (worker.runs.get(task) !== each) continue;
        if (now > each.waitsUntil) {
          listEnd(task, each.run, 'alone', each.saved);
          continue;
        }
        if (each.stopAt !== undefined) {
          if (now >= each.stopAt) {
            const worked = each.worked + Math.max(0, now - each.from);
            // A stop produces a new value.
            const saved = each.saves ? String(Math.floor(worked)) : each.saved;
            listEnd(task, each.run, 'stopped', saved);
          }
          continue;
        }
        const worked = each.worked + Math.max(0, now - each.from);
        if (each.saves && worked >= each.savedAt + checkpointMs) {
          each.savedAt = Math.floor(worked / checkpointMs) * checkpointMs;
          each.saved = String(each.savedAt);
        }
        if (each.work.fails && worked >= each.work.ms) {
          listEnd(task, each.run, 'failed', each.saved);
        } else if (!each.work.lasts && worked >= each.work.ms) {
          listEnd(task, each.run, 'done', '');
        }
      }
      if (worker.runs.size > 0 && getClock() > leaseUntil) {
        for (const [task, {run, saved}] of [...worker.runs]) {
          listEnd(task, run, 'lapsed', saved);
        }
      }
    }

    function takeLease(untilMs) {
      if (untilMs === undefined) return;
      const limit = getClock() + holdMaxMs;
      leaseUntil = Math.max(leaseUntil, Math.min(untilMs, limit));
    }

    function getFree() {
      const free = {...capacity};
      for (const {work} of worker.runs.values()) free.cpu -= work.cpu;
      return free;
    }

    function refuse(reason) {
      return {status: 409, body: {clockMs: getClock(), reason}};
    }

    function startRun({task, run, spec, untilMs, checkpointData = '', ticket}) {
      const work = getWork(task, spec, worker);
      if (untilMs <= getClock()) return refuse('late');
      if (isBarred(worker, task, ticket)) return refuse('ticket');
      const current = worker.runs.get(task);
      if (current?.run === run) {
        takeLease(untilMs);
        return {status: 200, body: {clockMs: getClock()}};
      }
      if (current || run <= (over.get(task) ?? 0)) {
        takeLease(untilMs);
        return refuse('old');
      }
      if (getFree().cpu < work.cpu) {
        takeLease(untilMs);
        return refuse('room');
      }
      takeLease(untilMs);
      const worked = Number(checkpointData || 0);
      const from = performance.now() + (worked > 0 ? restoreMs : 0);
      const member = {
        run,
        work,
        worked,
        from,
        waitsUntil: Infinity,
        saves: work.saves === true,
        saved: checkpointData,
        savedAt: worked,
      };
      worker.runs.set(task, member);
      joinGang(task, member, how => {
        if (worker.runs.get(task) === member) {
          listEnd(task, run, how, how === 'done' ? '' : member.saved);
        }
      });
      record('run begun', {worker: worker.id, task, run, spec});
      worker.onBegun(task, run);
      return {status: 200, body: {clockMs: getClock()}};
    }

    function stopRun({task, run}) {
      const current = worker.runs.get(task);
      if (current?.run === run) {
        current.stopAt ??= performance.now() + stopMs / 2;
      }
      over.set(task, Math.max(over.get(task) ?? 0, run));
      return {status: 200, body: {clockMs: getClock()}};
    }

    function report() {
      const running = [...worker.runs].map(([task, each]) => {
        const worked = each.worked + Math.max(0, performance.now() - each.from);
        const percent = each.work.lasts
          ? worked > 500
            ? 100
            : 0
          : Math.min(99, Math.floor((100 * worked) / each.work.ms));
        return [task, each.run, each.saved, percent, each.work.cpu];
      });
      return {
        status: 200,
        body: {
          clockMs: getClock(),
          born: bornAt,
          running,
          ended: ended.slice(0, MAX_LISTED_ENDS),
        },
      };
    }

    async function hold({lastSeen = 0, untilMs, waitMs = 0}) {
      takeLease(untilMs);
      for (const [number, task, run, how] of ended) {
        if (number <= lastSeen) onSeen({worker: worker.id, task, run, how});
      }
      ended = ended.filter(([number]) => number > lastSeen);
      const life = bornAt;
      if (ended.length === 0 && waitMs > 0) {
        await new Promise(resolve => {
          const done = () => {
            clearTimeout(timeout);
            waiting.delete(done);
            resolve();
          };
          const timeout = setTimeout(done, waitMs);
          waiting.add(done);
        });
      }
      return worker.up && bornAt === life ? report() : undefined;
    }

    async function apply({path, body}) {
      if ((body.fence ?? 0) < fence) return refuse('fence');
      fence = body.fence ?? 0;
      if (path === '/-/run-start') return startRun(body);
      if (path === '/-/run-stop') return stopRun(body);
      if (path === '/-/hold') return hold(body);
      if (path === '/-/pace') {
        return {status: 200, body: {clockMs: getClock()}};
      }
      return {status: 400};
    }

    async function handle(call) {
      if (call.headers['x-expect-instance'] !== worker.id) return {status: 421};
      if (call.path !== '/-/hold') {
        record('order', {worker: worker.id, path: call.path, ...call.body});
      }
      const fault = worker.onCall(call);
      if (!fault) return apply(call);
      if (fault.status) return {status: fault.status};
      const life = bornAt;
      if (fault.lateMs) {
        await new Promise(resolve => setTimeout(resolve, fault.lateMs));
      }
      if (worker.up && bornAt === life) await apply(call);
      return undefined;
    }

    function register() {
      sequence += 1;
      store.put(`servers/${worker.id}`, {
        service: worker.service,
        address,
        zone,
        version: '1',
        slots: 8,
        state: worker.state,
        ...(worker.state === 'draining' ? {remainingMs: 2_000} : {}),
        coldLeftMs: 0,
        sequence,
        born: bornAt,
        machine,
        capacity,
        labels,
      });
    }

    /** Begins a new life, under a new id unless one is given. */
    async function start(ip, port, {id} = {}) {
      worker.id = id ?? `w${nextId}`;
      if (id === undefined) nextId += 1;
      address = `${ip}:${port}`;
      zeroAt = performance.now() - 1_000;
      bornAt = Date.now();
      fence = 0;
      leaseUntil = 0;
      lastEnd = 0;
      sequence = 0;
      ended = [];
      over = new Map();
      worker.runs = new Map();
      worker.state = 'ready';
      worker.up = true;
      server = await serve(ip, port, handle);
      register();
      timer = setInterval(register, HEARTBEAT_MS);
      ticker = setInterval(tick, TICK_MS);
      record('worker up', {worker: worker.id, machine, address});
    }

    function stopTimers() {
      clearInterval(timer);
      clearInterval(ticker);
    }

    function endAll() {
      const runs = [...worker.runs];
      worker.runs = new Map();
      for (const [task, member] of runs) leaveGang(task, member, 'gone');
    }

    /** Ends at once and says nothing; its runs are gone. */
    function crash() {
      if (!worker.up) return;
      worker.up = false;
      stopTimers();
      const runs = [...worker.runs];
      const tasks = runs.map(([task, {run}]) => `${task} ${run}`);
      record('worker crashed', {worker: worker.id, tasks});
      endAll();
      wake();
      end(server);
      const {id} = worker;
      // The entry lapses after three heartbeat intervals unless it is back.
      setTimeout(() => {
        if (!worker.up || worker.id !== id) store.drop(`servers/${id}`);
      }, 3 * HEARTBEAT_MS).unref();
    }

    /** Leaves for good and removes its entry. */
    function leave() {
      if (!worker.up) return;
      worker.up = false;
      stopTimers();
      record('worker left', {worker: worker.id});
      endAll();
      wake();
      end(server);
      store.drop(`servers/${worker.id}`);
    }

    function setState(state) {
      worker.state = state;
      register();
    }

    all.push(worker);
    return worker;
  }

  return {
    all,
    ends,
    createWorker,
    dispose() {
      for (const worker of all) if (worker.up) worker.leave();
    },
  };
}
