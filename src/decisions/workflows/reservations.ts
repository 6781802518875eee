import {HostRoom} from './host_room';
import {TaskRecord} from './task_record';

/** Room that is kept for work which does not fit yet. */
export interface Reservations {
  /** Considers a reservation for tasks of a group that were not placed. */
  consider(unplaced: readonly TaskRecord[]): void;
  /** Returns whether a task may use a host without delaying reserved work. */
  mayUse(task: TaskRecord, room: HostRoom): boolean;
}

/** Creates the reservations of a pass. */
export function createReservations(): Reservations {
  return {consider: () => {}, mayUse: () => true};
}
