import {randomUUID} from 'node:crypto';
import {canChange} from '../../decisions/jobs';
import {Store} from '../../ports';
import {Mirror, MirrorEntry, WriteOutcome, write} from '../../state';
import {Job} from '../../types';

/**
 * Writes job records under a leader's term; all updates by a leader go through
 * it.
 */
export interface JobWriter {
  /**
   * Updates a record with a compare-and-swap.
   *
   * @param entry the record as last read
   * @param change the fields to update
   * @returns the updated record, or undefined if it is not certainly written
   * @throws Error if the state transition is not allowed
   */
  save(
    entry: MirrorEntry<Job>,
    change: Partial<Job>,
  ): Promise<MirrorEntry<Job> | undefined>;
}

/** Options for {@link createJobWriter}. */
export interface JobWriterOptions {
  readonly store: Store;
  readonly mirror: Mirror<Job>;
  readonly term: number;
  /** Called if a record carries a later term. */
  readonly supersede: () => void;
}

/** Creates the writer of a leader's term. */
export function createJobWriter(options: JobWriterOptions): JobWriter {
  const {store, mirror, term, supersede} = options;
  return {
    async save(entry, change) {
      const {key, value: job, version} = entry;
      if (job.term > term) {
        supersede();
        return undefined;
      }
      const next: Job = {...job, ...change, term, operationId: randomUUID()};
      if (next.state !== job.state && !canChange(job.state, next.state)) {
        throw new Error(
          `invalid job state transition from ${job.state} to ${next.state}`,
        );
      }
      const written = await write(store, {
        key,
        expectedVersion: version,
        value: JSON.stringify(next),
      });
      if (written.outcome === WriteOutcome.Conflict && written.found) {
        const found = JSON.parse(written.found.value) as Job;
        mirror.applyWrite(key, written.version, found);
      }
      if (written.outcome !== WriteOutcome.Written) return undefined;
      mirror.applyWrite(key, written.version, next);
      return {key, version: written.version, value: next};
    },
  };
}
