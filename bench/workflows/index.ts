import {Agent, request} from 'node:http';
import {TaskBehaviour, FleetEventKind} from '../../src/stand_ins/fleet';
import {createExternalPlatform} from '../../src/stand_ins/users_platform';
import {delay} from '../../src/state';
import {Bench, atLeast, atMost} from '../shared';
import {EntryProcess, startEntry} from './platform_entry';

const POOL = 'planner-api';
const SPARE_POOL = 'backoffice';
const ENTRIES = 3;
const HOSTS = 60;
/** Workflows a second and tasks of each, as one pool of the users' grown deployment has in its turn. */
const WORKFLOWS_A_SECOND = 60;
const TASKS = 8;
const WORK_MS = 800;
const CPU_MILLIS = 1_500;
const LOAD_MS = 10_000;
const QUICK_LOAD_MS = 4_000;
/** Time for the last tasks, in ms. */
const REST_MS = 4_000;
/** Part of a processor that the strongest entry hosts have, less a tenth. */
const PROCESSOR_PART = 0.6;
/** Latency objective less the run time, in ms: 0.6 of a run and the users' 600 ms. */
const START_MS = 1_080;

const BEHAVIOUR: TaskBehaviour = {
  workMs: WORK_MS,
  cpuMillis: CPU_MILLIS,
  memoryMb: 512,
};

/** Drives one pool in its turn over the users' protocol and measures what the leader spends. */
export const runWorkflowsBench: Bench = async ({seed, quick, progress}) => {
  const platform = await createExternalPlatform({
    pools: new Map([[POOL, HOSTS]]),
    sparePool: SPARE_POOL,
    spareMachines: 0,
  });
  platform.configure({
    version: 1,
    routes: [
      {
        name: 'quotes',
        service: POOL,
        host: 'passes.example',
        prefix: '/quotes/',
        priority: 0,
        maxAttempts: 4,
        stretch: 1.6,
        targetDurationMs: 600,
      },
    ],
    services: [
      {name: POOL, rejectsOverload: true},
      {name: SPARE_POOL, rejectsOverload: true, spare: true},
    ],
    limits: {},
  });
  const entries: EntryProcess[] = [];
  for (let index = 0; index < ENTRIES; index += 1) {
    const flags = process.env.ENTRY_FLAGS?.split(' ') ?? [];
    entries.push(await startEntry(platform, index, flags));
  }
  progress(`${ENTRIES} entry processes are ready`);
  await delay(2_000);
  const before = entries.map(entry => entry.readProcessorMs());
  const loadMs = quick ? QUICK_LOAD_MS : LOAD_MS;
  const submittedAt = await submitAll(entries, loadMs);
  const used = entries.map(
    (entry, index) => entry.readProcessorMs() - before[index],
  );
  await delay(REST_MS);
  const startedAt = new Map<string, number>();
  let done = 0;
  for (const {kind, task, at, how} of platform.fleet.events) {
    if (kind === FleetEventKind.Start && !startedAt.has(task)) {
      startedAt.set(task, at);
    }
    if (kind === FleetEventKind.End && how === 'done') done += 1;
  }
  const waits = [...startedAt]
    .map(([task, at]) => at - (submittedAt.get(task.split('.')[0]) ?? at))
    .sort((a, b) => a - b);
  for (const entry of entries) await entry.end();
  platform.dispose();
  const leader = Math.max(...used);
  progress(
    `${done} tasks; processor ms per task by entry host: ` +
      used.map(ms => (ms / done).toFixed(3)).join(', '),
  );
  const wanted = submittedAt.size * TASKS;
  return {
    bench: 'workflows',
    seed,
    measures: [
      atLeast('tasks-done-share', done / wanted, 1),
      atMost('leader-processor-part', leader / loadMs, PROCESSOR_PART),
      atMost('start-p95-ms', waits[Math.floor(waits.length * 0.95)], START_MS),
      atMost('start-p50-ms', waits[Math.floor(waits.length * 0.5)], START_MS),
    ],
  };
};

async function submitAll(
  entries: readonly EntryProcess[],
  loadMs: number,
): Promise<ReadonlyMap<string, number>> {
  const agent = new Agent({keepAlive: true});
  const submittedAt = new Map<string, number>();
  const body = JSON.stringify({
    spec: JSON.stringify(BEHAVIOUR).padEnd(1_000),
    steps: [
      {
        count: TASKS,
        cpu: CPU_MILLIS,
        memMb: BEHAVIOUR.memoryMb,
        estimateMs: WORK_MS,
      },
    ],
  });
  const count = (loadMs / 1_000) * WORKFLOWS_A_SECOND;
  const startedAt = performance.now();
  for (let index = 0; index < count; index += 1) {
    const due = startedAt + (index * 1_000) / WORKFLOWS_A_SECOND;
    await delay(Math.max(0, due - performance.now()));
    const id = (index + 1).toString(16).padStart(16, '0');
    submittedAt.set(id, performance.now());
    const [host, port] = entries[index % entries.length].callers.split(':');
    const call = request({
      agent,
      host,
      port,
      method: 'POST',
      path: `/quotes/${id}`,
      headers: {host: 'passes.example', 'content-type': 'application/json'},
    });
    call.on('response', response => response.resume());
    call.on('error', error => process.stderr.write(`${error.message}\n`));
    call.end(body);
  }
  return submittedAt;
}
