import {Estimates} from '../../decisions/jobs';
import {Mirror} from '../../state';
import {Job} from '../../types';
import {AttemptTimestamps} from './attempt_timestamps';
import {JobReservations} from './job_reservations';
import {HostPollStates} from './host_poll_states';
import {JobWriter} from './job_writer';
import {PoolJobsOptions} from './pool_jobs_options';

/** State and services shared by the components of a pool's jobs actor. */
export interface JobsContext extends PoolJobsOptions {
  readonly mirror: Mirror<Job>;
  readonly writer: JobWriter;
  readonly reservations: JobReservations;
  readonly pollStates: HostPollStates;
  readonly timestamps: AttemptTimestamps;
  readonly estimates: Estimates;
  /** Returns the ids of hosts that fail jobs which other hosts complete. */
  readonly getSuspects: () => ReadonlySet<string>;
  /** Whether this leader is neither disposed nor superseded by a later term. */
  readonly isLeading: () => boolean;
  /** Stops this leader because a later term exists. */
  readonly supersede: () => void;
  /** Requests a placement round. */
  readonly requestRound: () => void;
}
