import {Step} from '../../types/workflow';

/** A workflow as a caller submits it. */
export interface WorkflowDraft {
  readonly spec: string;
  readonly steps: readonly Step[];
  readonly occurrences: number;
  readonly firstAt: number;
  readonly intervalMs: number;
}
