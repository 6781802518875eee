import {randomUUID} from 'node:crypto';
import {canChange} from '../../decisions/jobs';
import {Store} from '../../ports';
import {Mirror, MirrorEntry, WriteOutcome, write} from '../../state';
import {Job} from '../../types';

/** The one way in which a leader changes job records. */
export interface JobWriter {
  /**
   * Swaps a record for its next value; undefined if that is not certain.
   *
   * @throws Error if the transition table forbids the change
   */
  save(
    entry: MirrorEntry<Job>,
    change: Partial<Job>,
  ): Promise<MirrorEntry<Job> | undefined>;
}

/** Where the writer gets what it needs. */
export interface JobWriterOptions {
  readonly store: Store;
  readonly mirror: Mirror<Job>;
  readonly term: number;
  /** Called when a record carries a later term. */
  readonly supersede: () => void;
}

/** Creates the writer of one leader's term. */
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
        throw new Error(`${job.state} can't become ${next.state}`);
      }
      const written = await write(store, {
        key,
        expectedVersion: version,
        value: JSON.stringify(next),
      });
      if (written.outcome === WriteOutcome.Conflict && written.found) {
        const found = JSON.parse(written.found.value) as Job;
        mirror.accept(key, written.version, found);
      }
      if (written.outcome !== WriteOutcome.Written) return undefined;
      mirror.accept(key, written.version, next);
      return {key, version: written.version, value: next};
    },
  };
}
