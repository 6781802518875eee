import {FaultKind, PLANNED_KINDS} from './fault';

/** When faults were active; rules with a time limit hold only in between. */
export interface Disturbances {
  /** Records the start of a fault and returns the function that ends it. */
  begin(kind: FaultKind | 'late-soak', target: number): () => void;
  /** Records a disturbance that is over. */
  add(kind: FaultKind | 'late-soak', fromMs: number): void;
  /**
   * Returns whether no fault was active between two times.
   *
   * @param planned planned work that doesn't count as a fault
   */
  isCalm(
    fromMs: number,
    toMs: number,
    planned?: ReadonlySet<FaultKind>,
  ): boolean;
  /** Returns whether a kind was active at one entry host between two times. */
  wasActive(
    kind: FaultKind,
    target: number,
    fromMs: number,
    toMs: number,
  ): boolean;
}

interface Span {
  readonly kind: FaultKind | 'late-soak';
  readonly target: number;
  readonly fromMs: number;
  toMs: number;
}

/** Creates an empty record. */
export function createDisturbances(): Disturbances {
  const spans: Span[] = [];

  function begin(kind: Span['kind'], target: number): () => void {
    const span = {kind, target, fromMs: performance.now(), toMs: Infinity};
    spans.push(span);
    return () => (span.toMs = performance.now());
  }

  return {
    begin,
    add: (kind, fromMs) =>
      spans.push({kind, target: -1, fromMs, toMs: performance.now()}),
    isCalm: (fromMs, toMs, planned = PLANNED_KINDS) =>
      !spans.some(
        span =>
          !planned.has(span.kind as FaultKind) &&
          span.fromMs <= toMs &&
          span.toMs >= fromMs,
      ),
    wasActive: (kind, target, fromMs, toMs) =>
      spans.some(
        span =>
          span.kind === kind &&
          span.target === target &&
          span.fromMs <= toMs &&
          span.toMs >= fromMs,
      ),
  };
}
