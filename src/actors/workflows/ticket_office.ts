import {PlacementAdvice} from '../../ports/hosts';
import {Log} from '../../telemetry';

/** Gets and keeps the tickets that steps of advised queues need. */
export interface TicketCache {
  /** Returns a valid ticket of a step for a host; undefined if there is none. */
  find(step: string, hostId: string): string | undefined;
  /** Asks for tickets of a step, unless it was asked for these hosts. */
  request(request: TicketRequest): void;
  /** A host refused a ticket. */
  discard(step: string, hostId: string): void;
}

/** What is asked of the advice service. */
export interface TicketRequest {
  /** The step of an occurrence. */
  readonly step: string;
  /** Hosts that could run it, the best first. */
  readonly hostIds: readonly string[];
  /** Hosts that it wants tickets for. */
  readonly wanted: number;
  readonly validMs: number;
}

interface Ticket {
  readonly ticket: string;
  readonly until: number;
}

interface StepTickets {
  readonly tickets: Map<string, Ticket>;
  /** Hosts that were asked about, and until when the answer holds. */
  readonly asked: Map<string, number>;
}

/** Hosts asked about beyond those that are wanted, as some may not run the step. */
const EXTRA_HOSTS = 2;
/** Most hosts in one call: the service's bound. */
const MAX_HOSTS_PER_CALL = 100;
/** Part of a ticket's time after which it isn't used: an order takes its way. */
const USABLE_SHARE = 0.8;

/**
 * Creates the office of a term.
 *
 * The service serves one call of a caller at a time, so calls wait here.
 *
 * @param advice the advice service
 * @param log told of each answer
 * @param onTickets tickets have come
 */
export function createTicketCache(
  advice: PlacementAdvice,
  log: Log,
  onTickets: () => void,
): TicketCache {
  const steps = new Map<string, StepTickets>();
  const waiting = new Map<string, TicketRequest>();
  let asking = false;

  function getStep(step: string): StepTickets {
    let known = steps.get(step);
    if (!known) {
      known = {tickets: new Map(), asked: new Map()};
      steps.set(step, known);
    }
    return known;
  }

  async function processQueue(): Promise<void> {
    if (asking) return;
    asking = true;
    for (let next = takeNext(); next; next = takeNext()) await ask(next);
    asking = false;
  }

  function takeNext(): TicketRequest | undefined {
    const [next] = waiting.values();
    if (next) waiting.delete(next.step);
    return next;
  }

  async function ask({
    step,
    hostIds,
    wanted,
    validMs,
  }: TicketRequest): Promise<void> {
    const known = getStep(step);
    const now = performance.now();
    const fresh = hostIds.filter(id => (known.asked.get(id) ?? 0) <= now);
    const count = Math.min(MAX_HOSTS_PER_CALL, wanted + EXTRA_HOSTS);
    const candidates = fresh.slice(0, count);
    if (candidates.length === 0) return;
    const answer = await advice.ask(step, candidates);
    log.info('advice', {
      step,
      hosts: candidates.length,
      outcome: answer.isOk ? `${answer.value.size} good` : answer.error,
    });
    if (answer.isErr) return;
    const until = now + validMs * USABLE_SHARE;
    for (const id of candidates) known.asked.set(id, until);
    for (const [id, ticket] of answer.value) {
      known.tickets.set(id, {ticket, until});
    }
    onTickets();
  }

  return {
    find(step, hostId) {
      const ticket = steps.get(step)?.tickets.get(hostId);
      if (!ticket || ticket.until < performance.now()) return undefined;
      return ticket.ticket;
    },
    request(request) {
      waiting.set(request.step, request);
      void processQueue();
    },
    discard(step, hostId) {
      const known = steps.get(step);
      known?.tickets.delete(hostId);
      known?.asked.delete(hostId);
    },
  };
}
