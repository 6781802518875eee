import {Store, StoreEntry} from '../../ports';
import {createMirror} from '../../state';
import {Workflow} from '../../types/workflow';
import {CANCEL_PREFIX, WORK_PREFIX, getWorkKey} from './keys';
import {TermErrors} from './term_errors';

/** Follows the stored workflows and cancellation requests during a term. */
export interface WorkflowFeed {
  dispose(): void;
}

/** What is stored at the time of an update. */
export interface WorkflowUpdate {
  /** Keys of the stored workflows. */
  readonly workKeys: ReadonlyMap<string, unknown>;
  /** Ids of the workflows that callers have cancelled. */
  readonly cancelledIds: readonly string[];
}

/** Dependencies of a workflow feed. */
export interface WorkflowFeedOptions {
  readonly store: Store;
  /** Admits a stored workflow; called again with each update. */
  readonly admit: (workflow: Workflow) => void;
  /** Called when a workflow that could not be admitted must be dropped. */
  readonly drop: (workflow: Workflow) => void;
  /**
   * Called after each change, for the first time once both lists have been
   * loaded: a cancelled workflow must not start.
   */
  readonly onUpdate: (update: WorkflowUpdate) => void;
  readonly errors: TermErrors;
}

/** Maximum wait of one watch call, in ms. */
const WATCH_WAIT_MS = 1_500;
/**
 * Minimum time between two reads of new workflows, in ms, so that one call
 * returns several workflows.
 */
const WORK_INTERVAL_MS = 10;
/** Minimum time between two reads of cancellations, in ms. */
const CANCEL_INTERVAL_MS = 80;
/** Delay before retrying a failed store read, in ms. */
const RETRY_MS = 200;

/**
 * Creates the feed of a term and starts it.
 *
 * An entry that cannot be read, or admitted, is logged once and ignored, so
 * that it stops neither the others nor the next leader.
 *
 * @param options the store and callbacks
 */
export function createWorkflowFeed({
  store,
  admit,
  drop,
  onUpdate,
  errors,
}: WorkflowFeedOptions): WorkflowFeed {
  const invalidKeys = new Set<string>();
  const options = {
    waitMs: WATCH_WAIT_MS,
    retryMs: RETRY_MS,
    onInvalid: reportInvalid,
    onError: (error: unknown) => errors.report('store watch', error),
  };
  const work = createMirror<Workflow>(store, WORK_PREFIX, {
    ...options,
    minIntervalMs: WORK_INTERVAL_MS,
    decode: readWorkflow,
  });
  const cancellations = createMirror<unknown>(store, CANCEL_PREFIX, {
    ...options,
    minIntervalMs: CANCEL_INTERVAL_MS,
  });
  let loaded = false;

  function reportInvalid(key: string, cause: unknown): void {
    invalidKeys.add(key);
    errors.ignore(key, cause);
  }

  function update(): void {
    loaded ||= work.synced.get() && cancellations.synced.get();
    if (!loaded) return;
    const workKeys = work.entries.get();
    for (const {key, value} of workKeys.values()) tryAdmit(key, value);
    const cancelledIds = [...cancellations.entries.get().keys()].map(key =>
      key.slice(CANCEL_PREFIX.length),
    );
    onUpdate({workKeys, cancelledIds});
  }

  function tryAdmit(key: string, workflow: Workflow): void {
    if (invalidKeys.has(key)) return;
    try {
      admit(workflow);
    } catch (error) {
      drop(workflow);
      reportInvalid(key, error);
    }
  }

  for (const mirror of [work, cancellations]) {
    mirror.entries.onChange(errors.guard('workflow feed', update));
    mirror.synced.onChange(errors.guard('workflow feed', update));
  }

  return {
    dispose() {
      work.dispose();
      cancellations.dispose();
    },
  };
}

/** Parses a stored workflow; throws if it is none. */
function readWorkflow({key, value}: StoreEntry): Workflow {
  const workflow = JSON.parse(value) as Workflow;
  if (key !== getWorkKey(workflow.id) || !Array.isArray(workflow.steps)) {
    throw new TypeError('not a workflow');
  }
  return workflow;
}
