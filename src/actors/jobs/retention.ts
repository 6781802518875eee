import {isFinal} from '../../decisions/jobs';
import {WriteOutcome, write} from '../../state';
import {JobsContext} from './jobs_context';
import {runBounded} from './run_bounded';

/** Deletes finished jobs after the retention time. */
export interface Retention {
  review(): Promise<void>;
}

/** Default retention time of finished jobs, in ms. */
export const JOB_RETENTION_MS = 7 * 86_400_000;

const MAX_CONCURRENT_DELETIONS = 4;
const MAX_DELETIONS_PER_ROUND = 100;

/** Creates the retention of a pool's jobs. */
export function createRetention(context: JobsContext): Retention {
  const {mirror, store, retentionMs = JOB_RETENTION_MS} = context;
  return {
    async review() {
      const before = Date.now() - retentionMs;
      const expired = [...mirror.entries.get().values()]
        .filter(({value}) => isFinal(value.state))
        .filter(({value}) => (value.finishedAt ?? Infinity) < before)
        .slice(0, MAX_DELETIONS_PER_ROUND);
      await runBounded(
        expired,
        MAX_CONCURRENT_DELETIONS,
        async ({key, version, value}) => {
          const written = await write(store, {
            key,
            expectedVersion: version,
            value: undefined,
          });
          if (written.outcome !== WriteOutcome.Written) return;
          mirror.applyWrite(key, version + 1, undefined);
          context.estimates.forget(value.id);
        },
      );
    },
  };
}
