import {Result} from 'true-myth';
import {StoredState} from '../../decisions/workflows';
import {Store, StoreFailure, TransactionResult} from '../../ports';
import {createAdaptiveTimeout, delay, startStopwatch} from '../../state';
import {Workflow, WorkflowState} from '../../types/workflow';
import {getStateKey, getWorkKey} from './keys';

/** Creates the stored entries of new workflows. */
export interface WorkflowCreator {
  /**
   * Creates a workflow unless its id exists.
   *
   * @param waitMs time in ms that the attempts may take
   * @returns the store's answer; `AnswerLost` if the workflow may be stored,
   *     any other failure if it is not
   */
  create(
    workflow: Workflow,
    waitMs: number,
  ): Promise<Result<TransactionResult, StoreFailure>>;
}

/**
 * Minimum attempts before an outcome is reported as unknown. With a third of
 * all answers lost, about one submission in twenty ends as unknown.
 */
const MIN_ATTEMPTS = 3;
/** Time in ms that the answer to the caller takes. */
const ANSWER_MS = 30;
/** Delay in ms before further attempts at a store that does not answer. */
const RETRY_MS = 150;
/**
 * Time in ms that an attempt takes at least if the store answers, with the
 * answer to the caller.
 */
const MIN_ATTEMPT_MS = 100;

/**
 * Creates a creator.
 *
 * Load: a store that is silent for a few seconds. A caller whose outcome is
 * unknown repeats the submission, but a few times only, so attempts go on for a
 * part of its wait. The condition on the key lets at most one of them create it.
 *
 * @param store the key-value store
 */
export function createWorkflowCreator(store: Store): WorkflowCreator {
  const storeTimeout = createAdaptiveTimeout();

  return {
    async create(workflow, waitMs) {
      const getElapsedMs = startStopwatch();
      const transaction = createTransaction(workflow);
      let lost = 0;
      for (;;) {
        const result = await storeTimeout.run(
          () => store.transact(transaction),
          waitMs - getElapsedMs() - ANSWER_MS,
        );
        if (result.isOk) return result;
        if (result.error === StoreFailure.AnswerLost) lost += 1;
        if (lost === 0) return result;
        if (lost < MIN_ATTEMPTS && result.error === StoreFailure.AnswerLost) {
          continue;
        }
        if (getElapsedMs() + RETRY_MS + MIN_ATTEMPT_MS > waitMs) {
          return Result.err(StoreFailure.AnswerLost);
        }
        await delay(RETRY_MS);
      }
    },
  };
}

function createTransaction(workflow: Workflow) {
  const {id, queue, organisation} = workflow;
  const state: StoredState = {
    queue,
    ...(organisation === undefined ? {} : {organisation}),
    state: WorkflowState.Pending,
    begun: false,
  };
  return {
    conditions: new Map([[getWorkKey(id), 0]]),
    puts: [
      {key: getWorkKey(id), value: JSON.stringify(workflow)},
      {key: getStateKey(id), value: JSON.stringify(state)},
    ],
    removals: [],
  };
}
