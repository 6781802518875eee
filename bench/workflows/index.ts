import {Agent, request} from 'node:http';
import {TaskBehaviour, FleetEventKind} from '../../src/stand_ins/fleet';
import {createExternalPlatform} from '../../src/stand_ins/external_platform';
import {delay} from '../../src/state';
import {Bench, atLeast, atMost} from '../shared';
import {EntryProcess, startEntry} from './entry_process';

const POOL = 'planner-api';
const SPARE_POOL = 'backoffice';
const ENTRIES = 3;
const HOSTS = 60;
/**
 * Workflows per second and tasks per workflow: the load of one pool of the
 * users' enlarged deployment while it is that pool's turn to receive load.
 */
const WORKFLOWS_PER_SECOND = 60;
const TASKS_PER_WORKFLOW = 8;
const WORK_MS = 800;
const CPU_MILLIS = 1_500;
const LOAD_MS = 10_000;
const QUICK_LOAD_MS = 4_000;
/** Time after the last submission for remaining tasks to end, in ms. */
const DRAIN_MS = 4_000;
/** Share of a processor that the largest entry hosts have, less a tenth. */
const MAX_PROCESSOR_SHARE = 0.6;
/**
 * Maximum start delay in ms: the latency objective less the run time, which is
 * 0.6 of the run time plus the users' 600 ms.
 */
const MAX_START_DELAY_MS = 1_080;

const BEHAVIOUR: TaskBehaviour = {
  workMs: WORK_MS,
  cpuMillis: CPU_MILLIS,
  memoryMb: 512,
};

/**
 * Loads one pool over the users' protocol and measures completed tasks, start
 * delays and the processor time of the leader.
 */
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
  const processorMsBefore = entries.map(entry => entry.readProcessorMs());
  const loadMs = quick ? QUICK_LOAD_MS : LOAD_MS;
  const submittedAt = await submitWorkflows(entries, loadMs);
  const processorMs = entries.map(
    (entry, index) => entry.readProcessorMs() - processorMsBefore[index],
  );
  await delay(DRAIN_MS);
  const startedAt = new Map<string, number>();
  let doneTasks = 0;
  for (const {kind, task, at, how} of platform.fleet.events) {
    if (kind === FleetEventKind.Start && !startedAt.has(task)) {
      startedAt.set(task, at);
    }
    if (kind === FleetEventKind.End && how === 'done') doneTasks += 1;
  }
  const startDelaysMs = [...startedAt]
    .map(([task, at]) => at - (submittedAt.get(task.split('.')[0]) ?? at))
    .sort((a, b) => a - b);
  for (const entry of entries) await entry.end();
  platform.dispose();
  const leaderProcessorMs = Math.max(...processorMs);
  progress(
    `${doneTasks} tasks done; processor ms per task, by entry host: ` +
      processorMs.map(ms => (ms / doneTasks).toFixed(3)).join(', '),
  );
  const expectedTasks = submittedAt.size * TASKS_PER_WORKFLOW;
  return {
    bench: 'workflows',
    seed,
    measures: [
      atLeast('tasks-done-share', doneTasks / expectedTasks, 1),
      atMost(
        'leader-processor-part',
        leaderProcessorMs / loadMs,
        MAX_PROCESSOR_SHARE,
      ),
      atMost(
        'start-p95-ms',
        startDelaysMs[Math.floor(startDelaysMs.length * 0.95)],
        MAX_START_DELAY_MS,
      ),
      atMost(
        'start-p50-ms',
        startDelaysMs[Math.floor(startDelaysMs.length * 0.5)],
        MAX_START_DELAY_MS,
      ),
    ],
  };
};

async function submitWorkflows(
  entries: readonly EntryProcess[],
  loadMs: number,
): Promise<ReadonlyMap<string, number>> {
  const agent = new Agent({keepAlive: true});
  const submittedAt = new Map<string, number>();
  const body = JSON.stringify({
    spec: JSON.stringify(BEHAVIOUR).padEnd(1_000),
    steps: [
      {
        count: TASKS_PER_WORKFLOW,
        cpu: CPU_MILLIS,
        memMb: BEHAVIOUR.memoryMb,
        estimateMs: WORK_MS,
      },
    ],
  });
  const count = (loadMs / 1_000) * WORKFLOWS_PER_SECOND;
  const startedAt = performance.now();
  for (let index = 0; index < count; index += 1) {
    const due = startedAt + (index * 1_000) / WORKFLOWS_PER_SECOND;
    await delay(Math.max(0, due - performance.now()));
    const id = (index + 1).toString(16).padStart(16, '0');
    submittedAt.set(id, performance.now());
    const [host, port] =
      entries[index % entries.length].callerAddress.split(':');
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
