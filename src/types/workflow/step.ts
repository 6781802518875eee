/** A step of a workflow: a number of identical tasks. */
export interface Step {
  readonly taskCount: number;
  /** Thousandths of a processor that one task needs. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Declared run time of a task in ms; may be far from the actual one. */
  readonly estimateMs: number;
  /** Indexes of the steps that must be completed first. */
  readonly after: readonly number[];
  /** Whether the tasks checkpoint their progress. */
  readonly checkpoints: boolean;
  /**
   * Whether the tasks are gang-scheduled: they run only all together and end
   * together.
   */
  readonly gang: boolean;
  /** Whether the tasks run slower if spread over more than one rack. */
  readonly sameRack: boolean;
  /** Label that a host must have; empty to allow any host. */
  readonly label: string;
  /** Rack that holds the step's data; empty if there is none. */
  readonly dataRack: string;
  /** Maximum number of an occurrence's tasks on one host; 0 for no limit. */
  readonly perHostLimit: number;
  /** Whether speculative copies of a task may run in parallel. */
  readonly copies: boolean;
  /**
   * Whether the tasks are long-running services, which run until the workflow
   * is cancelled.
   */
  readonly lasting: boolean;
  readonly image: string;
  /** Target for the tail latency of a service task, in ms; 0 if it has none. */
  readonly tailTargetMs: number;
  /**
   * Whether the tasks use only processor time that a host's other tasks leave
   * idle.
   */
  readonly fills: boolean;
  /**
   * Maximum number of tasks that may be down at once because of scheduler
   * orders; undefined for no limit.
   */
  readonly mayMiss: number | undefined;
}
