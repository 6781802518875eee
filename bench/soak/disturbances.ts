import {FaultKind, PLANNED_KINDS} from './fault';

/** When faults were active; rules with a time limit hold only in between. */
export interface Disturbances {
  /** Records the start of a fault and returns the function that ends it. */
  begin(kind: FaultKind): () => void;
  /** Records that the soak itself was late by a time in ms. */
  addLag(lagMs: number): void;
  /** Returns by how much the soak itself was late between two times, in ms. */
  getLagMs(fromMs: number, toMs: number): number;
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
}

interface Span {
  readonly kind: FaultKind;
  readonly fromMs: number;
  toMs: number;
}

/** Creates an empty record. */
export function createDisturbances(): Disturbances {
  const spans: Span[] = [];
  const lags: {atMs: number; lagMs: number}[] = [];

  function begin(kind: FaultKind): () => void {
    const span = {kind, fromMs: performance.now(), toMs: Infinity};
    spans.push(span);
    return () => (span.toMs = performance.now());
  }

  return {
    begin,
    addLag: lagMs => lags.push({atMs: performance.now(), lagMs}),
    getLagMs(fromMs, toMs) {
      // The latest are the last; only these concern a call that has just ended.
      const from = lags.findLastIndex(({atMs}) => atMs < fromMs) + 1;
      return lags
        .slice(from)
        .filter(({atMs, lagMs}) => atMs - lagMs <= toMs)
        .reduce((sum, {lagMs}) => sum + lagMs, 0);
    },
    isCalm: (fromMs, toMs, planned = PLANNED_KINDS) =>
      !spans.some(
        span =>
          !planned.has(span.kind) && span.fromMs <= toMs && span.toMs >= fromMs,
      ),
  };
}
