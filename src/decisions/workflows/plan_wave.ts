import {MachineState} from '../../types/workflow';
import {MachineView} from './machine_view';

/** Progress of a maintenance wave. */
export interface WaveView {
  readonly number: number;
  readonly machines: readonly string[];
  /** Maximum number of machines that may be down for it at the same time. */
  readonly limit: number;
  /** Time left until the last maintenance must have started, in ms. */
  readonly remainingMs: number;
  /** Ids of machines whose maintenance has started or finished. */
  readonly serviced: ReadonlySet<string>;
  /** Ids of machines that have left the fleet. */
  readonly gone: ReadonlySet<string>;
  /** Number of machines that are or may be down for it. */
  readonly down: number;
}

/** Next actions for a wave. */
export interface WavePlan {
  /** Ids of empty machines whose maintenance can start now. */
  readonly service: readonly string[];
  /** Ids of machines to cordon until their tasks have ended. */
  readonly cordon: readonly string[];
  /** Whether maintenance has started on every machine that has not left. */
  readonly complete: boolean;
}

/**
 * Time in ms to drain a machine before its maintenance; several runs of a
 * typical task.
 */
const DRAIN_MS = 3_000;
/**
 * Utilization above which a pool is busy; its machines are left out while there
 * is enough time.
 */
const BUSY_UTILIZATION = 0.7;
/**
 * Fraction of the remaining time; if the rest of the wave takes longer, busy
 * pools are drained too.
 */
const URGENT_TIME_FRACTION = 0.6;

/**
 * Plans the next steps of a maintenance wave in a fleet with varying load.
 *
 * Machines that are off or empty come first, then those of the pools with the
 * lowest utilization. Busy pools are drained only when time runs out.
 *
 * @param wave the wave
 * @param machines all machines by id
 * @param getUtilization returns the utilization of a pool, 0 to 1
 * @param upkeepMs duration of the maintenance of one machine, in ms
 */
export function planWave(
  wave: WaveView,
  machines: ReadonlyMap<string, MachineView>,
  getUtilization: (pool: string) => number,
  upkeepMs: number,
): WavePlan {
  const left = wave.machines.filter(
    id => !wave.serviced.has(id) && !wave.gone.has(id),
  );
  if (left.length === 0) return {service: [], cordon: [], complete: true};
  const present = left.flatMap(id => machines.get(id) ?? []);
  const candidates = present
    .filter(({state, ordered}) => state === MachineState.Up && !ordered)
    .map(machine => ({machine, rank: rankMachine(machine, getUtilization)}))
    .sort((a, b) => a.rank - b.rank);
  const rounds = Math.ceil(present.length / Math.max(1, wave.limit));
  const urgent =
    rounds * (upkeepMs + DRAIN_MS) > wave.remainingMs * URGENT_TIME_FRACTION;
  let slots = wave.limit - wave.down;
  const service: string[] = [];
  const cordon: string[] = [];
  for (const {machine} of candidates) {
    if (slots <= 0) break;
    const busy =
      machine.hostId !== '' && getUtilization(machine.pool) > BUSY_UTILIZATION;
    if (busy && !urgent && !machine.cordoned) continue;
    slots -= 1;
    if (machine.tasks === 0) service.push(machine.id);
    else cordon.push(machine.id);
  }
  return {service, cordon, complete: false};
}

function rankMachine(
  {hostId, tasks, lasting, cordoned, pool}: MachineView,
  getUtilization: (pool: string) => number,
): number {
  if (hostId === '') return -3;
  if (tasks === 0) return -2;
  if (cordoned) return -1;
  return getUtilization(pool) * 100 + lasting * 10 + tasks;
}
