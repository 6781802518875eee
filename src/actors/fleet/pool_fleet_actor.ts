import {ActorSystemRef, Ref, dispatch} from 'nact';
import {Result} from 'true-myth';
import {HostState, RefusalReason, Unavailability} from '../../types';
import {createActor, createTicker} from '../shared';
import {Ledger} from './ledger_store';
import {PoolReviewOptions, createPoolReview} from './pool_review';
import {Quarantine} from './quarantine';

/**
 * Manages the hosts, unavailability budget, drains and moves of a pool on its
 * leader.
 */
export interface PoolFleetActor {
  /**
   * Takes a host out of service, if the budget allows it, until an operator
   * releases it.
   */
  quarantine(
    hostId: string,
    cause: string,
  ): Promise<Result<Unavailability, RefusalReason>>;
  dispose(): void;
}

/** Dependencies of the pool fleet actor. */
export interface PoolFleetOptions extends Omit<
  PoolReviewOptions,
  'onObservationChange'
> {
  readonly system: ActorSystemRef;
  /** Called if the actor fails again and again; the term should then end. */
  readonly onFailing?: () => void;
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

/** Transitional states, during which hosts are probed more often. */
const TRANSITIONAL_STATES: readonly HostState[] = [
  HostState.Draining,
  HostState.Rebooting,
  HostState.Moving,
];
const TICK_INTERVAL_MS = 100;
/** Number of ticks between periodic reviews. */
const REVIEW_TICKS = 10;

/**
 * Creates the actor that manages a pool's hosts within its unavailability
 * budget.
 */
export function createPoolFleetActor(
  options: PoolFleetOptions,
): PoolFleetActor {
  const {system, telemetry, view, pool, term} = options;
  const reviews = createPoolReview({
    ...options,
    onObservationChange: requestReview,
  });
  let reviewQueued = false;
  let ticks = 0;

  const actor = createActor<Ledger | undefined, Message>({
    system,
    name: `fleet-${pool}-${term}`,
    initial: undefined,
    errors: telemetry.errors,
    onFailing: options.onFailing,
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
    const inTransition = unavailable.filter(({state}) =>
      TRANSITIONAL_STATES.includes(state),
    );
    reviews.probes.probeDue(
      view.getListedHosts(pool),
      new Set(inTransition.map(entry => entry.hostId)),
    );
    if (ticks % REVIEW_TICKS === 0) requestReview();
    ticks += 1;
  }

  const ticker = createTicker({
    intervalMs: TICK_INTERVAL_MS,
    activity: 'fleet-tick',
    tick: tick,
    errors: telemetry.errors,
  });
  const unsubscribe = view.waves.entries.onChange(requestReview);

  return {
    quarantine: (hostId, cause) =>
      actor.ask(reply => ({
        kind: MessageKind.Quarantine,
        quarantine: {hostId, cause},
        reply,
      })),
    dispose() {
      ticker.dispose();
      unsubscribe();
      actor.dispose();
    },
  };
}
