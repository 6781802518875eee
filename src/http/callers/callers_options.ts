import {JobCalls} from '../../actors/jobs';
import {Requests} from '../../actors/requests';
import {Telemetry} from '../../telemetry';

/** What the callers' port needs. */
export interface CallerHandlerOptions {
  readonly requests: Requests;
  readonly jobs: JobCalls;
  readonly telemetry: Telemetry;
  /** False from the start of a planned stop. */
  readonly isReady: () => boolean;
}
