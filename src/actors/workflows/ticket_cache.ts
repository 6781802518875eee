import {PlacementAdvisor} from '../../ports/hosts';
import {Log} from '../../telemetry';
import {TermErrors} from './term_errors';

/**
 * Requests and caches the advice service's tickets, which steps of queues with
 * advice need for each host.
 */
export interface TicketCache {
  /**
   * Returns a valid ticket for a step on a host; undefined if there is none.
   */
  find(step: string, hostId: string): string | undefined;
  /**
   * Requests tickets for a step. Hosts with a recent answer are not asked about
   * again.
   */
  request(request: TicketRequest): void;
  /** Discards a ticket that its host has refused. */
  discard(step: string, hostId: string): void;
}

/** A request for tickets from the advice service. */
export interface TicketRequest {
  /** Key of the step and its occurrence. */
  readonly step: string;
  /** Hosts that could run the step, in order of preference. */
  readonly hostIds: readonly string[];
  /** Number of hosts for which tickets are wanted. */
  readonly wanted: number;
  /** Validity of the tickets, in ms. */
  readonly validMs: number;
}

interface Ticket {
  readonly ticket: string;
  /** Monotonic time in ms until which the ticket is used. */
  readonly usableUntil: number;
}

interface StepTickets {
  readonly tickets: Map<string, Ticket>;
  /**
   * Monotonic time in ms until which the answer about a host is used, by host
   * id.
   */
  readonly answeredUntil: Map<string, number>;
}

/** Additional hosts per request, as the service may reject some hosts. */
const EXTRA_HOSTS = 2;
/** Maximum hosts per call, set by the service. */
const MAX_HOSTS_PER_CALL = 100;
/**
 * Share of a ticket's validity during which it is used; the rest covers the
 * transmission of the start order.
 */
const USABLE_SHARE = 0.8;

/**
 * Creates the ticket cache of a term.
 *
 * The service handles one call per caller at a time, so requests are queued.
 *
 * @param advice the advice service
 * @param log receives each answer
 * @param errors errors of the term
 * @param onTickets called when tickets have arrived
 */
export function createTicketCache(
  advice: PlacementAdvisor,
  log: Log,
  errors: TermErrors,
  onTickets: () => void,
): TicketCache {
  const steps = new Map<string, StepTickets>();
  const waiting = new Map<string, TicketRequest>();
  let asking = false;

  function getStep(step: string): StepTickets {
    let known = steps.get(step);
    if (!known) {
      known = {tickets: new Map(), answeredUntil: new Map()};
      steps.set(step, known);
    }
    return known;
  }

  async function processQueue(): Promise<void> {
    if (asking) return;
    asking = true;
    try {
      for (let next = takeNext(); next; next = takeNext()) await ask(next);
    } finally {
      asking = false;
    }
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
    const fresh = hostIds.filter(
      id => (known.answeredUntil.get(id) ?? 0) <= now,
    );
    const count = Math.min(MAX_HOSTS_PER_CALL, wanted + EXTRA_HOSTS);
    const candidates = fresh.slice(0, count);
    if (candidates.length === 0) return;
    const answer = await advice.requestTickets(step, candidates);
    log.info('advice', {
      step,
      hosts: candidates.length,
      outcome: answer.isOk ? `${answer.value.size} good` : answer.error,
    });
    if (answer.isErr) return;
    const usableUntil = now + validMs * USABLE_SHARE;
    for (const id of candidates) known.answeredUntil.set(id, usableUntil);
    for (const [id, ticket] of answer.value) {
      known.tickets.set(id, {ticket, usableUntil});
    }
    onTickets();
  }

  return {
    find(step, hostId) {
      const ticket = steps.get(step)?.tickets.get(hostId);
      if (!ticket || ticket.usableUntil < performance.now()) return undefined;
      return ticket.ticket;
    },
    request(request) {
      waiting.set(request.step, request);
      errors.run('advice', processQueue);
    },
    discard(step, hostId) {
      const known = steps.get(step);
      known?.tickets.delete(hostId);
      known?.answeredUntil.delete(hostId);
    },
  };
}
