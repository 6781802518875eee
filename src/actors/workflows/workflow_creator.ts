import {Result} from 'true-myth';
import {StoredState, listCreationScopes} from '../../decisions/workflows';
import {StoreFailure, Transaction, TransactionResult} from '../../ports';
import {Workflow, WorkflowState} from '../../types/workflow';
import {getStateKey, getWithdrawalKey, getWorkKey} from './keys';
import {RepeatedWrites} from './repeated_writes';

/** Creates the stored entries of new workflows. */
export interface WorkflowCreator {
  /**
   * Creates a workflow unless its id exists or was withdrawn.
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
 * Creates a creator. The condition on the workflow's key lets at most one of
 * several attempts create it.
 *
 * @param writes writes to the key-value store
 */
export function createWorkflowCreator(writes: RepeatedWrites): WorkflowCreator {
  return {
    create: (workflow, waitMs) =>
      writes.transact(createTransaction(workflow), waitMs),
  };
}

function createTransaction(workflow: Workflow): Transaction {
  const {id, queue, organisation} = workflow;
  const state: StoredState = {
    queue,
    ...(organisation === undefined ? {} : {organisation}),
    state: WorkflowState.Pending,
    begun: false,
  };
  const keys = [
    getWorkKey(id),
    ...listCreationScopes(workflow).map(scope => getWithdrawalKey(id, scope)),
  ];
  return {
    conditions: new Map(keys.map(key => [key, 0])),
    puts: [
      {key: getWorkKey(id), value: JSON.stringify(workflow)},
      {key: getStateKey(id), value: JSON.stringify(state)},
    ],
    removals: [],
  };
}
