import {WorkflowState} from '../../types/workflow';

/**
 * State of a workflow that every entry host watches; small, and written only on
 * changes.
 */
export interface StoredState {
  readonly queue: string;
  /** Name of the organisation that submitted it; absent if there is none. */
  readonly organisation?: string;
  readonly state: WorkflowState;
  /** Whether a host has confirmed the start of a task. */
  readonly begun: boolean;
  /** Unix time in ms of the end; absent before. */
  readonly endedAt?: number;
}
