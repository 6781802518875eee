import {createHash} from 'node:crypto';
import {IncomingMessage, ServerResponse, createServer} from 'node:http';
import {AddressInfo, Socket} from 'node:net';
import {Store, StoreFailure, StorePut, Swap} from '../../ports';
import {readJson, sendJson} from '../../http/shared';
import {Host} from '../../types';
import {CallKind} from './call_kind';
import {createKeyValue} from './key_value';
import {createMemoryStore} from './memory_store';
import {StoreFaults, createStoreFaults} from './store_faults';

/** A running HTTP server with a key-value service and a host list. */
export interface PlatformServer {
  readonly port: number;
  readonly faults: StoreFaults;
  /** Number of calls to the key-value service by kind. */
  readonly calls: Readonly<Record<CallKind, number>>;
  dispose(): Promise<void>;
}

/** Time in ms after which updates and removals appear in the host list. */
const HOST_LIST_LAG_MS = 1_000;
const MAX_VALUE_BYTES = 1_048_576;

interface StoreCall {
  readonly key?: string;
  readonly prefix?: string;
  readonly swap?: Swap;
  readonly transaction?: {
    readonly conditions: readonly (readonly [string, number])[];
    readonly puts: readonly StorePut[];
    readonly removals: readonly string[];
  };
  readonly leaseId?: string;
  readonly lengthMs?: number;
  readonly after?: number;
  readonly waitMs?: number;
}

/**
 * Starts the platform stand-in.
 *
 * @param address IP address to listen on
 * @param port TCP port; 0 selects a free one
 */
export async function createPlatformServer(
  address: string,
  port: number,
): Promise<PlatformServer> {
  const keyValue = createKeyValue();
  const faults = createStoreFaults();
  const calls = {
    [CallKind.Read]: 0,
    [CallKind.Write]: 0,
    [CallKind.Lease]: 0,
    [CallKind.Watch]: 0,
  };
  const store = createMemoryStore(keyValue, faults, Math.random, kind => {
    calls[kind] += 1;
  });
  const hosts = new Map<string, Host>();
  const sockets = new Set<Socket>();
  const silentSockets = new WeakSet<Socket>();

  function silenceConnections(except: Socket): void {
    for (const socket of sockets) {
      if (socket !== except) silentSockets.add(socket);
    }
    faults.silentConnections = false;
  }

  async function route(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (silentSockets.has(request.socket)) return;
    const path = request.url ?? '/';
    if (path === '/hosts' && request.method === 'GET') {
      return sendHosts(request, response, [...hosts.values()]);
    }
    const body = await readJson<unknown>(request, 2 * MAX_VALUE_BYTES);
    if (path === '/hosts') return registerHost(body as Host, response);
    if (path === '/hosts/remove') {
      setTimeout(() => hosts.delete((body as Host).id), HOST_LIST_LAG_MS);
      return sendJson(response, 200, {});
    }
    if (path === '/faults') {
      Object.assign(faults, body);
      if (faults.silentConnections) silenceConnections(request.socket);
      return sendJson(response, 200, faults);
    }
    if (path === '/calls') return sendJson(response, 200, calls);
    if (path === '/writes') {
      const {prefix = ''} = body as StoreCall;
      return sendJson(response, 200, {writes: keyValue.countWrites(prefix)});
    }
    return handleStoreCall(store, path, body as StoreCall, response);
  }

  function registerHost(host: Host, response: ServerResponse): void {
    const known = hosts.has(host.id);
    const apply = () => hosts.set(host.id, host);
    if (known) setTimeout(apply, HOST_LIST_LAG_MS);
    else apply();
    sendJson(response, 200, {});
  }

  const server = createServer((request, response) => {
    route(request, response).catch((error: Error) => {
      if (response.headersSent) response.destroy();
      else sendJson(response, 400, {error: error.message});
    });
  });
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>(resolve => server.listen(port, address, resolve));

  return {
    port: (server.address() as AddressInfo).port,
    faults,
    calls,
    dispose: () =>
      new Promise(resolve => {
        keyValue.dispose();
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** Sends the host list, or status 304 if the client already has it. */
function sendHosts(
  request: IncomingMessage,
  response: ServerResponse,
  hosts: readonly Host[],
): void {
  const digest = createHash('sha1').update(JSON.stringify(hosts)).digest('hex');
  const etag = `"${digest}"`;
  response.setHeader('etag', etag);
  if (request.headers['if-none-match'] !== etag) {
    return sendJson(response, 200, hosts);
  }
  response.writeHead(304);
  response.end();
}

async function handleStoreCall(
  store: Store,
  path: string,
  call: StoreCall,
  response: ServerResponse,
): Promise<void> {
  const answer = await callStore(store, path, call);
  if (!answer) return sendJson(response, 404, {error: `bad call ${path}`});
  if (answer.isOk) return sendJson(response, 200, {value: answer.value});
  if (answer.error === StoreFailure.Unreachable) {
    return sendJson(response, 503, {error: answer.error});
  }
  response.destroy();
}

function callStore(store: Store, path: string, call: StoreCall) {
  if (path === '/kv/get') return store.get(call.key ?? '');
  if (path === '/kv/list') return store.list(call.prefix ?? '');
  if (path === '/kv/swap' && call.swap) {
    const length = Buffer.byteLength(call.swap.value ?? '');
    return length > MAX_VALUE_BYTES ? undefined : store.swap(call.swap);
  }
  if (path === '/kv/transact' && call.transaction) {
    const {conditions, puts, removals} = call.transaction;
    return store.transact({conditions: new Map(conditions), puts, removals});
  }
  if (path === '/kv/watch') {
    return store.watch(call.prefix ?? '', call.after ?? 0, call.waitMs ?? 0);
  }
  if (path === '/lease/grant') return store.grantLease(call.lengthMs ?? 0);
  if (path === '/lease/renew') return store.renewLease(call.leaseId ?? '');
  if (path === '/lease/revoke') return store.revokeLease(call.leaseId ?? '');
  return undefined;
}
