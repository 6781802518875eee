import {Estimates} from '../../decisions/jobs';
import {Mirror} from '../../state';
import {Job} from '../../types';
import {AttemptTimes} from './attempt_times';
import {HeldSlots} from './held_slots';
import {HostWatches} from './host_watches';
import {JobWriter} from './job_writer';
import {PoolJobsOptions} from './pool_jobs_options';

/** State and services shared by the components of a pool's jobs actor. */
export interface JobsContext extends PoolJobsOptions {
  readonly mirror: Mirror<Job>;
  readonly writer: JobWriter;
  readonly heldSlots: HeldSlots;
  readonly watches: HostWatches;
  readonly times: AttemptTimes;
  readonly estimates: Estimates;
  /** Returns the ids of hosts that fail jobs which other hosts complete. */
  readonly getSuspects: () => ReadonlySet<string>;
  /** Whether this leader is neither disposed nor superseded by a later term. */
  readonly isLeading: () => boolean;
  /** Stops this leader because a later term exists. */
  readonly supersede: () => void;
  /** Requests a placement round. */
  readonly wake: () => void;
}
