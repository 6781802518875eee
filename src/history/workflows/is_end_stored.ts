import {StoredProgress, StoredState, isFinal} from '../../decisions/workflows';
import {TaskEnd, TaskEndKind, Workflow} from '../../types/workflow';

/** What the store holds of a workflow. */
export interface StoredWorkflow {
  /** Undefined once the workflow has been removed. */
  readonly workflow: Workflow | undefined;
  readonly state: StoredState | undefined;
  readonly progress: StoredProgress | undefined;
}

/**
 * Returns whether an end may be discarded: the next leader would not start its
 * task again. Tasks that last are started again however they end.
 *
 * @param end the end that was acknowledged
 * @param stored what the store holds of its workflow at that moment
 */
export function isEndStored(
  {task, kind}: TaskEnd,
  {workflow, state, progress}: StoredWorkflow,
): boolean {
  if (kind !== TaskEndKind.Done || !workflow) return true;
  const [, occurrence, stepIndex, index] = task.split('.');
  if (workflow.steps[Number(stepIndex)]?.lasting) return true;
  if (state && isFinal(state.state)) return true;
  const group = progress?.[`${occurrence}.${stepIndex}`];
  return group?.done.includes(Number(index)) ?? false;
}
