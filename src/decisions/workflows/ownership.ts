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

/**
 * Returns the scopes of the withdrawals that prevent a workflow's creation.
 *
 * A workflow and a caller share a scope exactly if the workflow is visible to
 * the caller.
 */
export function listCreationScopes({
  queue,
  organisation,
}: Pick<Workflow, 'queue' | 'organisation'>): readonly string[] {
  if (organisation === undefined) return [getPublicScope(queue)];
  return [getQueueScope(queue), getOwnScope(queue, organisation)];
}

/** Returns the scopes of the withdrawals by a caller of a queue. */
export function listWithdrawalScopes(
  queue: Queue,
  {organisation}: Caller,
): readonly string[] {
  return [
    getPublicScope(queue.name),
    organisation
      ? getOwnScope(queue.name, organisation.name)
      : getQueueScope(queue.name),
  ];
}

/** Returns the scope of a queue's workflows without an organisation. */
function getPublicScope(queue: string): string {
  return JSON.stringify({public: queue});
}

/** Returns the scope of a queue's workflows of all organisations. */
function getQueueScope(queue: string): string {
  return JSON.stringify({queue});
}

/** Returns the scope of a queue's workflows of one organisation. */
function getOwnScope(queue: string, organisation: string): string {
  return JSON.stringify({queue, organisation});
}
