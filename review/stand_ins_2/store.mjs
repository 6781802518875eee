// Stand-in of the platform's metadata store, after PROTOCOL.md.
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setInterval, setTimeout} from 'node:timers';
import {setTimeout as delay} from 'node:timers/promises';
import {serve} from './http.mjs';

const MAX_ENTRIES = 32;
const MAX_ITEMS = 500;
const MAX_PAGE_LENGTH = 1_000_000;
const MAX_VALUE_BYTES = 1_048_576;
const LEASE_CHECK_MS = 20;

/** Creates an empty store; `onCall` may return what goes wrong with a call. */
export function createStore({historyLength = 100_000} = {}) {
  const items = new Map();
  const leases = new Map();
  let history = [];
  let revision = 1;
  let nextLease = 1;
  const waiting = new Set();
  const store = {
    /** Returns undefined, or `{lost: true, lateMs}`, or `{status}`. */
    onCall: () => undefined,
    /** Called with each change. */
    onChange: () => {},
    items,
    put,
    drop(key) {
      revision += 1;
      remove(key, revision);
    },
    read: key => items.get(key) && decode(items.get(key).value),
    listen: (ip, port) => serve(ip, port, handle),
  };

  function decode(value) {
    return Buffer.from(value, 'base64').toString();
  }

  function record(event) {
    history.push(event);
    if (history.length > historyLength) history = history.slice(-historyLength);
    store.onChange(event);
    for (const wake of [...waiting]) wake();
  }

  function write(key, value, lease, at) {
    const createRevision = items.get(key)?.createRevision ?? at;
    const item = {key, value, revision: at, createRevision, lease};
    items.set(key, item);
    record(item);
  }

  function remove(key, at) {
    if (items.delete(key)) record({key, revision: at, removed: true});
  }

  /** Writes as the operator or a worker does. */
  function put(key, value) {
    revision += 1;
    const text = JSON.stringify(value);
    write(key, Buffer.from(text).toString('base64'), 0, revision);
    return revision;
  }

  function expire() {
    const now = performance.now();
    for (const [id, lease] of leases) {
      if (lease.until <= now) endLease(id);
    }
  }

  function endLease(id) {
    leases.delete(id);
    const keys = [...items.values()].filter(item => item.lease === id);
    if (keys.length === 0) return;
    revision += 1;
    for (const {key} of keys) remove(key, revision);
  }

  function transact({ifRevision = [], puts = [], remove: keys = []}) {
    if (ifRevision.length + puts.length + keys.length > MAX_ENTRIES) {
      return {status: 400};
    }
    const isTooLong = ({value = ''}) =>
      Buffer.byteLength(value, 'base64') > MAX_VALUE_BYTES;
    if (puts.some(isTooLong)) return {status: 400};
    const written = [...puts.map(each => each.key), ...keys];
    if (written.some(key => /^(op|servers)\//.test(key))) return {status: 403};
    if (puts.some(({lease}) => lease && !leases.has(lease))) {
      return {status: 404};
    }
    const holds = ifRevision.every(
      ({key, revision: wanted}) => (items.get(key)?.revision ?? 0) === wanted,
    );
    if (!holds) {
      const found = ifRevision.map(
        ({key}) => items.get(key) ?? {key, revision: 0},
      );
      return {status: 412, body: {items: found}};
    }
    revision += 1;
    for (const {key, value, lease} of puts) {
      write(key, value ?? '', lease ?? 0, revision);
    }
    for (const key of keys) remove(key, revision);
    return {status: 200, body: {revision}};
  }

  function range(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    let length = 0;
    const page = [];
    for (const item of found.slice(0, MAX_ITEMS)) {
      length += item.value.length;
      if (page.length > 0 && length > MAX_PAGE_LENGTH) break;
      page.push(item);
    }
    const hasMore = page.length < found.length;
    return {status: 200, body: {items: page, hasMore, storeRevision: revision}};
  }

  async function watch(query, socket) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const until = performance.now() + Number(query.get('waitMs') ?? 0);
    if (after > revision) return {status: 410};
    for (;;) {
      const first = history[0]?.revision ?? revision;
      if (history.length >= historyLength && after < first) {
        return {status: 410};
      }
      const events = history.filter(
        event => event.revision > after && event.key.startsWith(prefix),
      );
      const leftMs = until - performance.now();
      if (events.length > 0 || leftMs <= 0 || socket.destroyed) {
        return {status: 200, body: {events, storeRevision: revision}};
      }
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        waiting.add(wake);
      });
    }
  }

  function apply({method, path, query, body, socket}) {
    expire();
    const id = Number(path.split('/').pop());
    switch (`${method} ${path.replace(/\/\d+$/, '')}`) {
      case 'GET /-/kv-key': {
        const item = items.get(query.get('key'));
        if (!item) return {status: 404};
        return {status: 200, body: {...item, storeRevision: revision}};
      }
      case 'GET /-/kv-range':
        return range(query);
      case 'GET /-/kv-watch':
        return watch(query, socket);
      case 'POST /-/kv-txn':
        return transact(body);
      case 'POST /-/kv-lease': {
        const lease = nextLease;
        nextLease += 1;
        const until = performance.now() + body.ttlMs;
        leases.set(lease, {ttlMs: body.ttlMs, until});
        return {status: 200, body: {lease, ttlMs: body.ttlMs}};
      }
      case 'POST /-/kv-keep': {
        const lease = leases.get(id);
        if (!lease) return {status: 404};
        lease.until = performance.now() + lease.ttlMs;
        return {status: 200, body: {ttlMs: lease.ttlMs}};
      }
      case 'DELETE /-/kv-lease-end':
        endLease(id);
        return {status: 200};
      default:
        return {status: 400};
    }
  }

  async function handle(call) {
    const fault = store.onCall(call);
    if (!fault) return apply(call);
    if (fault.status) return {status: fault.status};
    if (fault.lateMs) await delay(fault.lateMs);
    if (!fault.dropped) await apply(call);
    // The channel returns nothing further.
    return undefined;
  }

  const timer = setInterval(expire, LEASE_CHECK_MS);
  timer.unref();
  return store;
}
