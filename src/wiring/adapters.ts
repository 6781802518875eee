import {createHttpHostList} from '../adapters/host_list';
import {GrpcCredentials, createGrpcPeers} from '../adapters/peer';
import {createHttpStore} from '../adapters/store';
import {createHttpWorkers} from '../adapters/worker';
import {HostList, Peers, Store, Workers} from '../ports';
import {Settings} from '../settings';
import {Telemetry} from '../telemetry';

/** Adapters through which an entry host reaches external systems. */
export interface Adapters {
  readonly store: Store;
  readonly hostList: HostList;
  readonly workers: Workers;
  readonly peers: Peers;
}

/**
 * Creates the adapters according to the settings.
 *
 * @param settings validated settings
 * @param telemetry receives the entries that are ignored
 * @param credentials credentials for mutual TLS with other members; without
 *     them, the connections use no TLS
 */
export function createAdapters(
  settings: Settings,
  telemetry: Telemetry,
  credentials?: GrpcCredentials,
): Adapters {
  return {
    store: createHttpStore({
      urls: settings.storeUrls,
      timeoutMs: settings.storeTimeoutMs,
    }),
    hostList: createHttpHostList({
      url: settings.hostListUrl,
      timeoutMs: settings.storeTimeoutMs,
      onInvalid: (id, cause) =>
        telemetry.reportInvalidEntry('host-list', id, cause),
    }),
    workers: createHttpWorkers({
      connectionsPerWorker: settings.connectionsPerWorker,
      controlTimeoutMs: settings.workerTimeoutMs,
      connectTimeoutMs: settings.workerTimeoutMs,
    }),
    peers: createGrpcPeers(credentials?.channel),
  };
}
