import {findRelayCandidates} from '../../../decisions/membership';
import {Peers, PeerHandler, Store} from '../../../ports';
import {RelayNews, RelayWatch, relayWatchMethod} from '../../../protocol';
import {RateLimiter, createRateLimiter, delay} from '../../../state';
import {Telemetry} from '../../../telemetry';
import {Member} from '../../../types';
import {answerRelay} from './answer_relay';
import {followMember} from './follow_member';
import {followStore} from './follow_store';
import {createRelayLogs} from './relay_logs';
import {createRelayedStore} from './relayed_store';

/** Passes the store's control records between members, so that few of them watch the store. */
export interface Relay {
  /** The store; what every member mirrors is answered without a call to it. */
  readonly store: Store;
  /** Answers members that follow the store through this one. */
  readonly handler: PeerHandler<RelayWatch, RelayNews>;
  /** True while the store, or a member fed by it, answers. */
  isConnected(): boolean;
  /** Id of the member that feeds this one; undefined for the store itself. */
  getSource(): string | undefined;
  /** Time since the store last confirmed the content, in ms. */
  getAgeMs(): number;
  /** Starts following; called once the membership exists. */
  start(): void;
  dispose(): void;
}

/** Where the relay gets what it needs. */
export interface RelayOptions {
  readonly store: Store;
  readonly peers: Peers;
  readonly telemetry: Telemetry;
  readonly selfId: string;
  readonly getMembers: () => readonly Member[];
  /** Members to ask while none is known. */
  readonly seeds: readonly Member[];
}

const CALLS_PER_SECOND = 20;
const CALL_BURST = 20;
const RETRY_MS = 2_000;
const REVIEW_MS = 250;

/** Creates the relay of a member; it follows nothing until it is started. */
export function createRelay(options: RelayOptions): Relay {
  const {store, peers, telemetry, selfId, seeds, getMembers} = options;
  const relayLogs = createRelayLogs();
  const budget: RateLimiter = createRateLimiter({
    callsPerSecond: CALLS_PER_SECOND,
    burst: CALL_BURST,
  });
  const abort = new AbortController();
  /** Times until which members are passed over, by id. */
  const passedOver = new Map<string, number>();
  let source: string | undefined;

  function findSource(): Member | undefined {
    const members = getMembers();
    const known = members.length > 0 ? members : seeds;
    const now = performance.now();
    return findRelayCandidates(known, selfId).find(
      ({id}) => id !== selfId && (passedOver.get(id) ?? 0) <= now,
    );
  }

  async function run(): Promise<void> {
    while (!abort.signal.aborted) {
      const member = findSource();
      if (member) await follow(member);
      else await followStoreUntilFed();
    }
  }

  async function follow(member: Member): Promise<void> {
    source = member.id;
    const cause = await followMember({
      peers,
      relayLogs,
      selfId,
      source: member,
      isWanted: () => findSource()?.id === member.id,
      signal: abort.signal,
    });
    if (abort.signal.aborted) return;
    telemetry.log.debug('source of the relay left', {source: member.id, cause});
    if (findSource()?.id !== member.id) return;
    passedOver.set(
      member.id,
      performance.now() + RETRY_MS * (1 + Math.random()),
    );
  }

  async function followStoreUntilFed(): Promise<void> {
    source = undefined;
    const ended = new AbortController();
    const end = () => ended.abort();
    abort.signal.addEventListener('abort', end);
    const following = followStore({
      store,
      budget,
      relayLogs,
      signal: ended.signal,
    });
    while (!abort.signal.aborted && !findSource()) {
      await delay(REVIEW_MS, abort.signal);
    }
    end();
    abort.signal.removeEventListener('abort', end);
    void following;
  }

  return {
    store: createRelayedStore(store, relayLogs, budget),
    handler: {
      method: relayWatchMethod,
      handle: request => answerRelay(relayLogs, request),
    },
    isConnected: relayLogs.isConnected,
    getSource: () => source,
    getAgeMs: relayLogs.getAgeMs,
    start: () => void run(),
    dispose: () => abort.abort(),
  };
}
