/** An acknowledgement that was sent to a host, whichever incarnation got it. */
export interface NamedEnd {
  /** Number of the end that the call has named; 0 if there was no call. */
  readonly number: number;
  /** Monotonic time in ms of the call. */
  readonly at: number;
}

/** The acknowledgements that were sent to a host. */
export interface NamedEnds {
  /** Records a call at the monotonic time `at` in ms. */
  record(number: number, at: number): void;
  /** Returns the highest number that a call since `at` has named. */
  getHighestSince(at: number): NamedEnd;
}

/** Number of calls that are remembered. */
const MAX_CALLS = 8;

/** Creates the record of a host session. */
export function createNamedEnds(): NamedEnds {
  /** Calls that no later one has exceeded, from the highest number down. */
  const calls: NamedEnd[] = [];

  return {
    record(number, at) {
      while (calls.length > 0 && calls[calls.length - 1].number <= number) {
        calls.pop();
      }
      calls.push({number, at});
      if (calls.length > MAX_CALLS) calls.shift();
    },
    getHighestSince: since =>
      calls.find(({at}) => at >= since) ?? {number: 0, at: since},
  };
}
