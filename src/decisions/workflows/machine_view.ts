import {MachineState} from '../../types/workflow';

/** State of a machine, as an input for planning waves and pool sizes. */
export interface MachineView {
  readonly id: string;
  readonly pool: string;
  readonly state: MachineState;
  /**
   * Id of the host on the machine that may get tasks; empty if there is none.
   */
  readonly hostId: string;
  /** Number of tasks placed on it. */
  readonly tasks: number;
  /** Number of these tasks that are long-running. */
  readonly lasting: number;
  /** Whether its host accepts tasks, or will once it has registered. */
  readonly serves: boolean;
  /** Whether no new tasks are placed on it. */
  readonly cordoned: boolean;
  /** Time in ms since its last task ended, or since it was first seen. */
  readonly idleMs: number;
  /** Whether an order for it is pending: sent, but with an unknown outcome. */
  readonly ordered: boolean;
}
