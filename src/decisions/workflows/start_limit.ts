import {Capacity, Organisation, Step} from '../../types/workflow';
import {OrganisationUsage, addTasks} from './organisation_usage';
import {TaskRecord} from './task_record';

/** Limits what each organisation may have running, in all pools together. */
export interface StartLimit {
  /**
   * Returns those of a group's waiting tasks that may start now: all or none of
   * a gang.
   */
  select(waiting: readonly TaskRecord[]): readonly TaskRecord[];
  /** Counts tasks that were placed during the pass. */
  take(placed: readonly TaskRecord[]): void;
}

/** Tasks of one group that wait for the cap of their organisation. */
export interface HeldWork {
  readonly organisation: string;
  /** Id of their workflow. */
  readonly request: string;
  /** Number of tasks that may not start now. */
  readonly waiting: number;
  /** Capacity that each of them needs. */
  readonly size: Capacity;
  /** What may be running of the organisation. */
  readonly used: Capacity;
  readonly cap: Capacity;
}

/** What a start limit is decided from. */
export interface StartLimitOptions {
  /**
   * Configured organisations by name; undefined if no configuration was read
   * yet.
   */
  readonly organisations: ReadonlyMap<string, Organisation> | undefined;
  /** What may be running at the start of the pass. */
  readonly usage: Pick<OrganisationUsage, 'get'>;
  /** Called when tasks have to wait for the cap. */
  readonly onHeld?: (held: HeldWork) => void;
}

/**
 * Share of its cap below which an organisation may always start one task more,
 * so that a task larger than the rest of the cap does not wait forever.
 */
const FREE_SHARE = 0.5;

const RESOURCES = ['cpuMillis', 'memoryMb', 'accelerators'] as const;

/**
 * Creates the limit of a pass.
 *
 * Load: one organisation submits more work than it may have running. Its tasks
 * wait, and the rest of the fleet stays free for others.
 *
 * A cap is exceeded by one task at most, and only if the organisation uses less
 * than half of it. A lower cap stops nothing, but nothing starts above it.
 * Organisations that were removed from the configuration have no cap.
 */
export function createStartLimit({
  organisations,
  usage,
  onHeld = () => {},
}: StartLimitOptions): StartLimit {
  /** Usage including the tasks placed during the pass. */
  const used = new Map<string, Capacity>();

  function getUsed(organisation: string): Capacity {
    return used.get(organisation) ?? usage.get(organisation);
  }

  return {
    select(waiting) {
      if (waiting.length === 0) return waiting;
      const {workflow, step} = waiting[0];
      if (workflow.organisation === undefined) return waiting;
      if (!organisations) return [];
      const cap = organisations.get(workflow.organisation)?.cap;
      if (!cap) return waiting;
      const before = getUsed(workflow.organisation);
      const count = countStartable(step, waiting.length, before, cap);
      if (count === waiting.length) return waiting;
      onHeld({
        organisation: workflow.organisation,
        request: workflow.id,
        waiting: waiting.length - count,
        size: step,
        used: before,
        cap,
      });
      return waiting.slice(0, count);
    },
    take(placed) {
      for (const {workflow, step} of placed) {
        const {organisation} = workflow;
        if (organisation === undefined) continue;
        used.set(organisation, addTasks(getUsed(organisation), step, 1));
      }
    },
  };
}

/**
 * Returns how many of a number of tasks may start: of a gang all or none, of
 * others one after the other.
 */
function countStartable(
  size: Step,
  limit: number,
  used: Capacity,
  cap: Capacity,
): number {
  if (size.gang) return mayStart(size, limit, used, cap) ? limit : 0;
  let count = 0;
  let total = used;
  while (count < limit && mayStart(size, 1, total, cap)) {
    count += 1;
    total = addTasks(total, size, 1);
  }
  return count;
}

/** Returns whether a number of tasks may start together. */
function mayStart(
  size: Capacity,
  count: number,
  used: Capacity,
  cap: Capacity,
): boolean {
  return RESOURCES.every(resource => {
    const limit = cap[resource];
    if (limit === 0 || size[resource] === 0) return true;
    const before = used[resource];
    const withoutLast = before + (count - 1) * size[resource];
    if (withoutLast + size[resource] <= limit) return true;
    return before < FREE_SHARE * limit && withoutLast <= limit;
  });
}
