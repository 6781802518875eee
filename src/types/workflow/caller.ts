import {Organisation} from './organisation';

/** Who makes a call to a queue. */
export interface Caller {
  /**
   * Undefined on public queues, and on all queues if callers need no key.
   */
  readonly organisation: Organisation | undefined;
}
