import {performance} from 'node:perf_hooks';
import {Buffer} from 'node:buffer';
import {clearTimeout, setTimeout} from 'node:timers';
import {RESET, createJsonServer} from './json_server.mjs';

/** Time in ms that an answer of the store takes. */
const ANSWER_MS = 4;
const PAGE_ITEMS = 500;
const MAX_ENTRIES = 32;

/**
 * Creates a stand-in for the platform's store, as PROTOCOL.md describes it.
 *
 * @param minLeaseMs shortest lease that it grants
 */
export function createStore(minLeaseMs) {
  const items = new Map();
  const leases = new Map();
  const events = [];
  const waiting = new Set();
  let revision = 1;
  let nextLease = 1;
  let down = false;

  function emit(event) {
    events.push(event);
    for (const wake of [...waiting]) wake();
  }

  /** All changes of one transaction have one revision. */
  function put(key, value, lease = 0) {
    const created = items.get(key)?.createRevision ?? revision;
    const item = {key, value, revision, createRevision: created, lease};
    items.set(key, item);
    emit(item);
  }

  function remove(key) {
    if (!items.delete(key)) return;
    emit({key, revision, removed: true});
  }

  function endLease(id) {
    if (!leases.delete(id)) return;
    revision += 1;
    for (const {key, lease} of [...items.values()]) {
      if (lease === id) remove(key);
    }
  }

  function expireLeases() {
    const now = performance.now();
    // Leases pause while the store is down.
    if (!down) {
      for (const [id, lease] of leases) if (now > lease.until) endLease(id);
    }
    timer = setTimeout(expireLeases, 20);
  }
  let timer = setTimeout(expireLeases, 20);

  function listAfter(prefix, after) {
    return events.filter(
      event => event.revision > after && event.key.startsWith(prefix),
    );
  }

  async function watch(query) {
    const prefix = query.get('prefix');
    const after = Number(query.get('after'));
    const until = performance.now() + Number(query.get('waitMs'));
    let found = listAfter(prefix, after);
    while (found.length === 0 && performance.now() < until) {
      await new Promise(resolve => {
        const timer = setTimeout(done, until - performance.now());
        function done() {
          clearTimeout(timer);
          waiting.delete(done);
          resolve();
        }
        waiting.add(done);
      });
      found = listAfter(prefix, after);
    }
    return {status: 200, body: {events: found, storeRevision: revision}};
  }

  function transact({ifRevision = [], puts = [], remove: removals = []}) {
    if (ifRevision.length + puts.length + removals.length > MAX_ENTRIES) {
      return {status: 400};
    }
    const holds = ifRevision.every(
      row => (items.get(row.key)?.revision ?? 0) === row.revision,
    );
    if (!holds) {
      const current = ifRevision.map(
        ({key}) => items.get(key) ?? {key, revision: 0},
      );
      return {status: 412, body: {items: current, storeRevision: revision}};
    }
    if (puts.some(({lease = 0}) => lease !== 0 && !leases.has(lease))) {
      return {status: 404};
    }
    const keys = [...puts.map(({key}) => key), ...removals];
    if (keys.some(key => key.startsWith('op/') || key.startsWith('servers/'))) {
      return {status: 403};
    }
    revision += 1;
    for (const {key, value, lease} of puts) put(key, value, lease);
    removals.forEach(remove);
    return {status: 200, body: {revision}};
  }

  function handleLease(method, path, body) {
    const id = Number(path.split('/').pop());
    if (path === '/-/kv-lease') {
      const ttlMs = Math.max(minLeaseMs, body.ttlMs);
      const lease = nextLease;
      nextLease += 1;
      leases.set(lease, {ttlMs, until: performance.now() + ttlMs});
      return {status: 200, body: {lease, ttlMs}};
    }
    const lease = leases.get(id);
    if (!lease) return {status: 404};
    if (method === 'DELETE') endLease(id);
    else lease.until = performance.now() + lease.ttlMs;
    return {status: 200, body: {ttlMs: lease.ttlMs}};
  }

  const server = createJsonServer(async ({method, path, query, body}) => {
    if (down) return RESET;
    let answer;
    if (path === '/-/kv-key') {
      const item = items.get(query.get('key'));
      answer = item
        ? {status: 200, body: {...item, storeRevision: revision}}
        : {status: 404};
    } else if (path === '/-/kv-range') {
      const after = query.get('after') ?? '';
      const found = [...items.values()]
        .filter(({key}) => key.startsWith(query.get('prefix')) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      answer = {
        status: 200,
        body: {
          items: found.slice(0, PAGE_ITEMS),
          hasMore: found.length > PAGE_ITEMS,
          storeRevision: revision,
        },
      };
    } else if (path === '/-/kv-watch') answer = await watch(query);
    else if (path === '/-/kv-txn') answer = transact(body);
    else answer = handleLease(method, path, body);
    await new Promise(resolve => setTimeout(resolve, ANSWER_MS));
    return down ? RESET : answer;
  });

  return {
    listen: host => server.listen(host),
    /** Writes a value as the operator, a worker or another program does. */
    write(key, value) {
      revision += 1;
      put(key, Buffer.from(JSON.stringify(value)).toString('base64'));
    },
    remove(key) {
      revision += 1;
      remove(key);
    },
    /** Returns the decoded value of a key; undefined if there is none. */
    read(key) {
      const item = items.get(key);
      if (!item) return undefined;
      return JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
    },
    /** Begins an outage: all calls and connections are reset. */
    goDown() {
      down = true;
      server.resetAll();
      for (const wake of [...waiting]) wake();
    },
    comeBack(downMs) {
      for (const lease of leases.values()) lease.until += downMs;
      down = false;
    },
    isDown: () => down,
    async close() {
      clearTimeout(timer);
      for (const wake of [...waiting]) wake();
      await server.close();
    },
  };
}
