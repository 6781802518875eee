import {JobApi} from '../../actors/jobs';
import {Requests} from '../../actors/requests';
import {Telemetry} from '../../telemetry';

/** What the callers' port needs. */
export interface CallersOptions {
  readonly requests: Requests;
  readonly jobs: JobApi;
  readonly telemetry: Telemetry;
  /** False from the start of a planned stop. */
  readonly isReady: () => boolean;
}
