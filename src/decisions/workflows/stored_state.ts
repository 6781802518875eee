import {WorkflowState} from '../../types/workflow';

/** What every entry host follows of a workflow: small, and written only when it changes. */
export interface StoredState {
  readonly queue: string;
  readonly state: WorkflowState;
  /** True once a host has confirmed the start of a task. */
  readonly begun: boolean;
  readonly endedAt?: number;
}
