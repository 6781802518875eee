import {Result} from 'true-myth';
import {Store, StoreFailure} from '../../src/ports';
import {KeyValue} from '../../src/stand_ins/platform';

/** Outcome of a call to the gated store. */
export enum CallOutcome {
  /** The call takes effect and is answered. */
  Answered,
  /** The call takes effect and its answer is lost. */
  AnswerLost,
  /** The answer is lost; a write takes effect later or never. */
  Late,
  /** The call does not reach the store. */
  Unreachable,
}

/** A store whose calls wait until the test releases them. */
export interface GatedStore {
  readonly store: Store;
  /** Calls that have not been released yet. */
  readonly waiting: readonly PendingCall[];
  /** Writes whose answers were lost and that have not taken effect yet. */
  readonly late: (() => void)[];
  /** Completes a waiting call with the given outcome. */
  release(call: PendingCall, outcome: CallOutcome): void;
}

/** A call that waits to be released. */
export interface PendingCall {
  readonly isWrite: boolean;
  readonly effect: () => unknown;
  readonly answer: (result: Result<unknown, StoreFailure>) => void;
}

/**
 * Creates a store whose calls wait to be released.
 *
 * @param keyValue the key-value service that the calls read and change
 */
export function createGatedStore(keyValue: KeyValue): GatedStore {
  const waiting: PendingCall[] = [];
  const late: (() => void)[] = [];

  function wait<T>(
    isWrite: boolean,
    effect: () => T,
  ): Promise<Result<T, StoreFailure>> {
    return new Promise(resolve => {
      const answer = resolve as PendingCall['answer'];
      waiting.push({isWrite, effect, answer});
    });
  }

  function release(call: PendingCall, outcome: CallOutcome): void {
    waiting.splice(waiting.indexOf(call), 1);
    if (outcome === CallOutcome.Unreachable) {
      return call.answer(Result.err(StoreFailure.Unreachable));
    }
    if (outcome === CallOutcome.Answered) {
      return call.answer(Result.ok(call.effect()));
    }
    if (outcome === CallOutcome.AnswerLost || !call.isWrite) call.effect();
    else late.push(call.effect);
    call.answer(Result.err(StoreFailure.AnswerLost));
  }

  const notSupported = () => {
    throw new Error('the fleet model does not support this store call');
  };
  return {
    waiting,
    late,
    release,
    store: {
      get: key => wait(false, () => keyValue.get(key)),
      list: prefix => wait(false, () => keyValue.list(prefix)),
      swap: swap => wait(true, () => keyValue.swap(swap)),
      transact: transaction => wait(true, () => keyValue.transact(transaction)),
      grantLease: notSupported,
      renewLease: notSupported,
      revokeLease: notSupported,
      watch: notSupported,
      dispose: () => {},
    },
  };
}
