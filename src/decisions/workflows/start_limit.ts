import {TaskRecord} from './task_record';

/** Limits what each organisation may have running. */
export interface StartLimit {
  /** Returns those of a group's waiting tasks that may start now. */
  select(waiting: readonly TaskRecord[]): readonly TaskRecord[];
}

/** Creates the limit of a pass. */
export function createStartLimit(): StartLimit {
  return {select: waiting => waiting};
}
