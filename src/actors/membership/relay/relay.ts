import {findRelayCandidates} from '../../../decisions/membership';
import {Peers, PeerHandler, Store} from '../../../ports';
import {RelayUpdate, RelayWatch, relayWatchMethod} from '../../../protocol';
import {
  RateLimiter,
  createRateLimiter,
  delay,
  runInBackground,
} from '../../../state';
import {Telemetry} from '../../../telemetry';
import {Member} from '../../../types';
import {handleRelayWatch} from './handle_relay_watch';
import {followMember} from './follow_member';
import {followStore} from './follow_store';
import {createRelayLogs} from './relay_logs';
import {createRelayedStore} from './relayed_store';

/**
 * Relays the store's control records between members, so that only few members
 * watch the store.
 */
export interface Relay {
  /** The store; lists and watches of relayed prefixes are answered locally. */
  readonly store: Store;
  /** Handles watches by members that follow the store through this member. */
  readonly handler: PeerHandler<RelayWatch, RelayUpdate>;
  /** Whether the current source, the store or another member, is answering. */
  isConnected(): boolean;
  /**
   * Returns the id of the member that is followed, or undefined if the store is
   * followed directly.
   */
  getSource(): string | undefined;
  /** Returns the time since the store last confirmed the content, in ms. */
  getAgeMs(): number;
  /** Starts following a source; called once the membership has been created. */
  start(): void;
  dispose(): void;
}

/** Dependencies of the relay. */
export interface RelayOptions {
  readonly store: Store;
  readonly peers: Peers;
  readonly telemetry: Telemetry;
  readonly selfId: string;
  readonly getMembers: () => readonly Member[];
  /** Members to contact while no member is known. */
  readonly seeds: readonly Member[];
}

const CALLS_PER_SECOND = 20;
const CALL_BURST = 20;
const SOURCE_RETRY_MS = 2_000;
const SOURCE_CHECK_INTERVAL_MS = 250;

/** Creates the relay of a member; it follows no source until it is started. */
export function createRelay(options: RelayOptions): Relay {
  const {store, peers, telemetry, selfId, seeds, getMembers} = options;
  const relayLogs = createRelayLogs();
  const rateLimiter: RateLimiter = createRateLimiter({
    callsPerSecond: CALLS_PER_SECOND,
    burst: CALL_BURST,
  });
  const abort = new AbortController();
  /**
   * Monotonic times in ms until which members are not chosen as the source, by
   * id.
   */
  const skippedUntil = new Map<string, number>();
  let source: string | undefined;

  const reportError = (error: unknown) =>
    telemetry.errors.report('relay', error);

  function findSource(): Member | undefined {
    const members = getMembers();
    const known = members.length > 0 ? members : seeds;
    const now = performance.now();
    return findRelayCandidates(known, selfId).find(
      ({id}) => id !== selfId && (skippedUntil.get(id) ?? 0) <= now,
    );
  }

  async function run(): Promise<void> {
    while (!abort.signal.aborted) {
      try {
        const member = findSource();
        if (member) await followSource(member);
        else await followStoreUntilSourceFound();
      } catch (error) {
        reportError(error);
        await delay(SOURCE_RETRY_MS, abort.signal);
      }
    }
  }

  async function followSource(member: Member): Promise<void> {
    source = member.id;
    const cause = await followMember({
      peers,
      relayLogs,
      selfId,
      source: member,
      isPreferredSource: () => findSource()?.id === member.id,
      signal: abort.signal,
    });
    if (abort.signal.aborted) return;
    telemetry.log.debug('source of the relay left', {source: member.id, cause});
    if (findSource()?.id !== member.id) return;
    skippedUntil.set(
      member.id,
      performance.now() + SOURCE_RETRY_MS * (1 + Math.random()),
    );
  }

  async function followStoreUntilSourceFound(): Promise<void> {
    source = undefined;
    const stopped = new AbortController();
    const stop = () => stopped.abort();
    abort.signal.addEventListener('abort', stop);
    const {signal} = stopped;
    runInBackground(
      () => followStore({store, rateLimiter, relayLogs, signal, reportError}),
      reportError,
    );
    while (!abort.signal.aborted && !findSource()) {
      await delay(SOURCE_CHECK_INTERVAL_MS, abort.signal);
    }
    stop();
    abort.signal.removeEventListener('abort', stop);
  }

  return {
    store: createRelayedStore(store, relayLogs, rateLimiter),
    handler: {
      method: relayWatchMethod,
      handle: request => handleRelayWatch(relayLogs, request),
    },
    isConnected: relayLogs.isConnected,
    getSource: () => source,
    getAgeMs: relayLogs.getAgeMs,
    start: () => runInBackground(run, reportError),
    dispose: () => abort.abort(),
  };
}
