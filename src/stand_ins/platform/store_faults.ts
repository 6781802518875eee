/** Faults that a test or bench causes at the key-value service. */
export interface StoreFaults {
  /** No call is answered and none takes effect. */
  down: boolean;
  /** Added time of each call in ms. */
  slowMs: number;
  /** Share of writes, 0 to 1, whose answer is lost after they took effect. */
  lostAnswers: number;
  /** Time in ms after which the caller notices that an answer is lost. */
  lossMs: number;
  /** Calls that hang without an answer or an effect. */
  silent: boolean;
  /** Connections open now stay open and go silent; new ones work. */
  silentConnections: boolean;
}

/** Creates faults that are all off. */
export function createStoreFaults(): StoreFaults {
  return {
    down: false,
    slowMs: 0,
    lostAnswers: 0,
    lossMs: 0,
    silent: false,
    silentConnections: false,
  };
}
