import {JobApi} from '../../actors/jobs';
import {Requests} from '../../actors/requests';
import {Telemetry} from '../../telemetry';

/** Dependencies of the callers' port. */
export interface CallerHandlerOptions {
  readonly requests: Requests;
  readonly jobs: JobApi;
  readonly telemetry: Telemetry;
  /**
   * Returns whether the member accepts requests; false once a planned stop has
   * begun.
   */
  readonly isReady: () => boolean;
}
