/** One measured value next to its target. */
export interface Measure {
  readonly name: string;
  readonly value: number;
  /** Target as text, such as "<= 1.1". */
  readonly target: string;
  readonly holds: boolean;
}

/** Measures a value that must not exceed a target. */
export function atMost(name: string, value: number, target: number): Measure {
  return {name, value, target: `<= ${target}`, holds: value <= target};
}

/** Measures a value that must not fall below a target. */
export function atLeast(name: string, value: number, target: number): Measure {
  return {name, value, target: `>= ${target}`, holds: value >= target};
}

/** Measures a value that must exceed a target. */
export function above(name: string, value: number, target: number): Measure {
  return {name, value, target: `> ${target}`, holds: value > target};
}
