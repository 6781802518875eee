import {StoreChange, StoreEntry} from '../../ports';
import {KeyValue} from '../platform';
import {JsonAnswer, JsonCall} from './json_server';

/** Items per page of a range; small enough that tests use paging. */
const ITEMS_PER_PAGE = 50;
/** Maximum number of conditions and changes in a transaction. */
const MAX_TRANSACTION_ENTRIES = 32;
/**
 * Prefix of lease ids in the key-value stand-in; on the wire they are numbers.
 */
const LEASE_PREFIX = 'lease-';

/**
 * Creates the handler of the store's HTTP API, backed by the key-value
 * stand-in.
 */
export function createStoreApi(keyValue: KeyValue) {
  return async (call: JsonCall): Promise<JsonAnswer> => {
    const {method, path, query, body} = call;
    const route = `${method} ${path.replace(/\/\d+$/, '/{}')}`;
    const lease = LEASE_PREFIX + path.split('/').pop();
    switch (route) {
      case 'GET /-/kv-key': {
        const entry = keyValue.get(query.get('key') ?? '');
        return entry ? ok(writeItem(entry)) : {status: 404};
      }
      case 'GET /-/kv-range':
        return ok(readRange(query.get('prefix') ?? '', query.get('after')));
      case 'GET /-/kv-watch':
        return watch(query);
      case 'POST /-/kv-txn':
        return transact(body);
      case 'POST /-/kv-lease': {
        const granted = keyValue.grantLease(Number(body.ttlMs));
        const number = Number(granted.slice(LEASE_PREFIX.length));
        return ok({lease: number, ttlMs: body.ttlMs});
      }
      case 'POST /-/kv-keep/{}':
        return {status: keyValue.renewLease(lease) ? 200 : 404};
      case 'DELETE /-/kv-lease-end/{}':
        keyValue.revokeLease(lease);
        return {status: 200};
      default:
        return {status: 400};
    }
  };

  function readRange(prefix: string, after: string | null): object {
    const {revision, entries} = keyValue.list(prefix);
    const sorted = [...entries].sort((a, b) => (a.key < b.key ? -1 : 1));
    const rest = sorted.filter(({key}) => after === null || key > after);
    return {
      items: rest.slice(0, ITEMS_PER_PAGE).map(writeItem),
      hasMore: rest.length > ITEMS_PER_PAGE,
      storeRevision: revision,
    };
  }

  async function watch(query: URLSearchParams): Promise<JsonAnswer> {
    const seen = await keyValue.watch(
      query.get('prefix') ?? '',
      Number(query.get('after')),
      Number(query.get('waitMs')),
    );
    if (seen.compacted) return {status: 410};
    return ok({
      events: seen.changes.map(writeEvent),
      storeRevision: seen.revision,
    });
  }

  function transact(body: JsonCall['body']): JsonAnswer {
    const conditions = (body.ifRevision ?? []) as WireCondition[];
    const puts = (body.puts ?? []) as WirePut[];
    const removals = (body.remove ?? []) as string[];
    if (
      conditions.length + puts.length + removals.length >
      MAX_TRANSACTION_ENTRIES
    ) {
      return {status: 400};
    }
    const result = keyValue.transact({
      conditions: new Map(conditions.map(({key, revision}) => [key, revision])),
      puts: puts.map(({key, value, lease}) => ({
        key,
        value: Buffer.from(value, 'base64').toString('utf8'),
        ...(lease ? {leaseId: `${LEASE_PREFIX}${lease}`} : {}),
      })),
      removals,
    });
    return result.applied
      ? ok({revision: result.revision})
      : {status: 412, body: {items: result.found.map(writeItem)}};
  }
}

interface WireCondition {
  readonly key: string;
  readonly revision: number;
}

interface WirePut {
  readonly key: string;
  readonly value: string;
  readonly lease?: number;
}

function ok(body: object): JsonAnswer {
  return {status: 200, body};
}

function writeItem({key, value, version, leaseId}: StoreEntry): object {
  return {
    key,
    value: Buffer.from(value).toString('base64'),
    revision: version,
    createRevision: version,
    lease: Number(leaseId?.slice(LEASE_PREFIX.length) ?? 0),
  };
}

function writeEvent({key, revision, entry}: StoreChange): object {
  return entry ? writeItem(entry) : {key, revision, removed: true};
}
