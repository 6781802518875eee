/** Faults of the key-value service, set by tests and benches. */
export interface StoreFaults {
  /** Calls fail and take no effect. */
  down: boolean;
  /** Additional latency of each call in ms. */
  slowMs: number;
  /** Share of writes, 0 to 1, that take effect but whose answer is lost. */
  lostAnswers: number;
  /** Time in ms after which a call whose answer is lost fails. */
  lossMs: number;
  /** Share of writes, 0 to 1, that take effect late and get no answer. */
  lateWrites: number;
  /** Time in ms after which a late write takes effect. */
  lateMs: number;
  /** Calls get no answer and take no effect. */
  silent: boolean;
  /**
   * Connections that are open when this is set stay open but get no more
   * answers; new connections work.
   */
  silentConnections: boolean;
}

/** Creates a set of faults that are all off. */
export function createStoreFaults(): StoreFaults {
  return {
    down: false,
    slowMs: 0,
    lostAnswers: 0,
    lossMs: 0,
    lateWrites: 0,
    lateMs: 0,
    silent: false,
    silentConnections: false,
  };
}
