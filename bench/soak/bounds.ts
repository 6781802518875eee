/**
 * Time limits of the promises to callers and operators, in ms; see
 * docs/design/platform.md and the settings that the platform passes to an entry
 * host. None of them is a measured figure.
 */
export const BOUNDS = {
  /** Time after a disturbance for which rules with a time limit don't hold. */
  contactMs: 3_000,
  /** A new configuration is in force everywhere. */
  configApplyMs: 2_000,
  /** An accepted workflow can be asked for. */
  visibleMs: 3_000,
  /** No task of a cancelled workflow starts any more. */
  cancelMs: 3_000,
  /** A leaving host gets no more tasks. */
  drainMs: 3_000,
  /** A task that isn't serving counts as unavailable whatever the cause. */
  noticeMs: 4_500,
  /** Minimum time between orders of two leaders for a machine. */
  holderGapMs: 3_000,
  /** After the end of a planned stop, the process is killed. */
  graceMs: 6_000,
  /** A request that a stopping process has not read may be cut this soon. */
  lossSlackMs: 200,
  /** Share above an organisation's cap that a start may reach. */
  capOverage: 0.1,
  /** The readiness check gets an answer. */
  answerMs: 3_000,
  /** Resident memory of a process, in MB. */
  memoryMb: 350,
  /** Every entry host serves again after the last fault. */
  recoveryMs: 12_000,
  /** Accepted workflows have ended after the load and the faults. */
  finishMs: 14_000,
} as const;
