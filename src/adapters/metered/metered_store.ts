import {Store} from '../../ports';
import {CallObserver, measure} from './measure';

/**
 * Wraps a store so that its calls are measured.
 *
 * @param store the store to wrap
 * @param observe receives the kind, outcome and duration of each call
 */
export function createMeteredStore(store: Store, observe: CallObserver): Store {
  return {
    get: key => measure('get', observe, () => store.get(key)),
    list: prefix => measure('list', observe, () => store.list(prefix)),
    swap: swap => measure('swap', observe, () => store.swap(swap)),
    transact: transaction =>
      measure('transact', observe, () => store.transact(transaction)),
    grantLease: lengthMs =>
      measure('grant-lease', observe, () => store.grantLease(lengthMs)),
    renewLease: leaseId =>
      measure('renew-lease', observe, () => store.renewLease(leaseId)),
    revokeLease: leaseId =>
      measure('revoke-lease', observe, () => store.revokeLease(leaseId)),
    watch: (prefix, after, waitMs) =>
      measure('watch', observe, () => store.watch(prefix, after, waitMs)),
    dispose: () => store.dispose(),
  };
}
