import {ActorSystemRef, Ref, dispatch} from 'nact';
import {Result} from 'true-myth';
import {HostState, RefusalReason, Unavailability} from '../../types';
import {createActor, createTicker} from '../shared';
import {Ledger} from './ledger_store';
import {PoolReviewOptions, createPoolReview} from './pool_review';
import {Quarantine} from './quarantine';

/** The leader's keeper of one pool's hosts, budget ledger, drains and moves. */
export interface PoolFleetActor {
  /** Takes a host out of service within the budget, until an operator releases it. */
  quarantine(
    hostId: string,
    cause: string,
  ): Promise<Result<Unavailability, RefusalReason>>;
  dispose(): void;
}

/** Where the actor gets what it needs. */
export interface PoolFleetOptions extends Omit<PoolReviewOptions, 'onNews'> {
  readonly system: ActorSystemRef;
}

enum MessageKind {
  Review,
  Quarantine,
}

interface ReviewMessage {
  readonly kind: MessageKind.Review;
}

interface QuarantineMessage {
  readonly kind: MessageKind.Quarantine;
  readonly quarantine: Quarantine;
  readonly reply: Ref<Result<Unavailability, RefusalReason>>;
}

type Message = ReviewMessage | QuarantineMessage;

/** States that end as soon as the host has reached them. */
const IN_MOTION: readonly HostState[] = [
  HostState.Draining,
  HostState.Rebooting,
  HostState.Moving,
];
const TICK_MS = 100;
/** Ticks between two reviews without news. */
const REVIEW_TICKS = 10;

/** Creates the actor that keeps a led pool's hosts within its budget. */
export function createPoolFleetActor(
  options: PoolFleetOptions,
): PoolFleetActor {
  const {system, telemetry, view, pool, term} = options;
  const reviews = createPoolReview({...options, onNews: requestReview});
  let reviewQueued = false;
  let ticks = 0;

  const actor = createActor<Ledger | undefined, Message>({
    system,
    name: `fleet-${pool}-${term}`,
    initial: undefined,
    log: telemetry.log,
    handle: (ledger, message) =>
      message.kind === MessageKind.Review
        ? review(ledger)
        : quarantine(ledger, message),
  });

  async function review(
    known: Ledger | undefined,
  ): Promise<Ledger | undefined> {
    reviewQueued = false;
    const ledger = known ?? (await reviews.load());
    return ledger && reviews.review(ledger);
  }

  async function quarantine(
    known: Ledger | undefined,
    message: QuarantineMessage,
  ): Promise<Ledger | undefined> {
    const {ledger, result} = await reviews.quarantine(
      known,
      message.quarantine,
    );
    if (result.isErr) telemetry.countRefusal(pool, result.error);
    dispatch(message.reply, result);
    return ledger;
  }

  function requestReview(): void {
    if (reviewQueued) return;
    reviewQueued = true;
    actor.tell({kind: MessageKind.Review});
  }

  function tick(): void {
    const unavailable = view.getRecord(pool)?.unavailable ?? [];
    const inMotion = unavailable.filter(({state}) => IN_MOTION.includes(state));
    reviews.probes.probeDue(
      view.getListed(pool),
      new Set(inMotion.map(entry => entry.hostId)),
    );
    if (ticks % REVIEW_TICKS === 0) requestReview();
    ticks += 1;
  }

  const ticker = createTicker(TICK_MS, tick);
  const stopFollowing = view.waves.entries.onChange(requestReview);

  return {
    quarantine: (hostId, cause) =>
      actor.ask(reply => ({
        kind: MessageKind.Quarantine,
        quarantine: {hostId, cause},
        reply,
      })),
    dispose() {
      ticker.dispose();
      stopFollowing();
      actor.dispose();
    },
  };
}
