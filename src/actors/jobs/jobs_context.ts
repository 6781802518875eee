import {Estimates} from '../../decisions/jobs';
import {Mirror} from '../../state';
import {Job} from '../../types';
import {AttemptTimes} from './attempt_times';
import {HeldSlots} from './held_slots';
import {HostWatches} from './host_watches';
import {JobWriter} from './job_writer';
import {PoolJobsOptions} from './pool_jobs_options';

/** What the parts of a pool's job keeper share. */
export interface JobsContext extends PoolJobsOptions {
  readonly mirror: Mirror<Job>;
  readonly writer: JobWriter;
  readonly heldSlots: HeldSlots;
  readonly watches: HostWatches;
  readonly times: AttemptTimes;
  readonly estimates: Estimates;
  /** Hosts that fail what others complete. */
  readonly getSuspects: () => ReadonlySet<string>;
  /** False once this leader is disposed or knows of a later term. */
  readonly isLeading: () => boolean;
  /** Stops acting: a later term is known. */
  readonly supersede: () => void;
  /** Asks for a placement round soon. */
  readonly wake: () => void;
}
