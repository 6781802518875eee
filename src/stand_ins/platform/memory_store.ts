import {Result} from 'true-myth';
import {Store, StoreFailure} from '../../ports';
import {delay} from '../../state';
import {CallKind} from './call_kind';
import {KeyValue} from './key_value';
import {StoreFaults} from './store_faults';

/** Maximum size of a value in bytes. */
const MAX_VALUE_BYTES = 1_048_576;

/**
 * Creates a store that calls a key-value service in memory, with faults.
 *
 * @param keyValue the service, which several stores may share
 * @param faults current faults, read at each call
 * @param random random numbers in [0, 1) that select the answers that are lost
 * @param onCall called with the kind of each call
 * @returns the store
 */
export function createMemoryStore(
  keyValue: KeyValue,
  faults: StoreFaults,
  random: () => number = Math.random,
  onCall: (kind: CallKind) => void = () => {},
): Store {
  async function call<T>(
    kind: CallKind,
    effect: () => T | Promise<T>,
  ): Promise<Result<T, StoreFailure>> {
    onCall(kind);
    if (faults.down) return Result.err(StoreFailure.Unreachable);
    if (faults.slowMs > 0) await delay(faults.slowMs);
    if (faults.silent) return Result.err(StoreFailure.AnswerLost);
    const isWrite = kind === CallKind.Write;
    if (isWrite && faults.lateWrites > 0 && random() < faults.lateWrites) {
      setTimeout(() => void effect(), faults.lateMs);
      if (faults.lossMs > 0) await delay(faults.lossMs);
      return Result.err(StoreFailure.AnswerLost);
    }
    const answer = await effect();
    const writes = isWrite || kind === CallKind.Lease;
    if (writes && faults.lostAnswers > 0 && random() < faults.lostAnswers) {
      if (faults.lossMs > 0) await delay(faults.lossMs);
      return Result.err(StoreFailure.AnswerLost);
    }
    if (faults.down) return Result.err(StoreFailure.AnswerLost);
    return Result.ok(answer);
  }

  return {
    get: key => call(CallKind.Read, () => keyValue.get(key)),
    list: prefix => call(CallKind.Read, () => keyValue.list(prefix)),
    swap: swap => call(CallKind.Write, () => keyValue.swap(swap)),
    async transact(transaction) {
      const isTooLarge = transaction.puts.some(
        ({value}) => Buffer.byteLength(value) > MAX_VALUE_BYTES,
      );
      if (isTooLarge) return Result.err(StoreFailure.Rejected);
      return call(CallKind.Write, () => keyValue.transact(transaction));
    },
    grantLease: lengthMs =>
      call(CallKind.Lease, () => keyValue.grantLease(lengthMs)),
    renewLease: leaseId =>
      call(CallKind.Lease, () => keyValue.renewLease(leaseId)),
    revokeLease: leaseId =>
      call(CallKind.Lease, () => keyValue.revokeLease(leaseId)),
    watch: (prefix, afterRevision, waitMs) =>
      call(CallKind.Watch, () => keyValue.watch(prefix, afterRevision, waitMs)),
    dispose: () => {},
  };
}
