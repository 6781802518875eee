/** Why a workflow is refused. */
export enum RefusalCause {
  /** The pool has too much accepted work. */
  Pool = 'pool',
  /** The organisation itself has too much accepted work. */
  Backlog = 'backlog',
  /** The pool is busy, and the organisation is beyond its rate. */
  Rate = 'rate',
  /** The leader can't hold more tasks. */
  Tasks = 'tasks',
}
