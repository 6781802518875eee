/** State of a machine. */
export enum MachineState {
  Up = 'up',
  Moving = 'moving',
  /** Under maintenance. */
  Maintenance = 'upkeep',
  Down = 'down',
  /** A state that this version does not know; the machine exists. */
  Unknown = 'unknown',
}

/** A machine of the fleet. */
export interface Machine {
  readonly id: string;
  readonly pool: string;
  readonly state: MachineState;
  /** Id of the host that runs on the machine; empty if there is none. */
  readonly hostId: string;
}
