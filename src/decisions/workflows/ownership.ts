import {Caller, Queue, Workflow} from '../../types/workflow';

/**
 * Returns whether a caller of a queue may know of a workflow.
 *
 * Callers without an organisation see all workflows of the queue: it is public,
 * or the deployment has no organisations. Workflows that were accepted without
 * an organisation are visible to all callers of their queue, so that a queue can
 * become public or stop being public while it holds workflows.
 */
export function isVisible(
  workflow: Pick<Workflow, 'queue' | 'organisation'>,
  queue: Queue,
  {organisation}: Caller,
): boolean {
  if (workflow.queue !== queue.name) return false;
  if (workflow.organisation === undefined || !organisation) return true;
  return workflow.organisation === organisation.name;
}
