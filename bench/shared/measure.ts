/** A measured value with its target. */
export interface Measure {
  readonly name: string;
  readonly value: number;
  /** Target as text, such as "<= 1.1". */
  readonly target: string;
  readonly holds: boolean;
}

/** Creates a measure whose value must not exceed the target. */
export function atMost(name: string, value: number, target: number): Measure {
  return {name, value, target: `<= ${target}`, holds: value <= target};
}

/** Creates a measure whose value must not be below the target. */
export function atLeast(name: string, value: number, target: number): Measure {
  return {name, value, target: `>= ${target}`, holds: value >= target};
}

/** Creates a measure whose value must exceed the target. */
export function above(name: string, value: number, target: number): Measure {
  return {name, value, target: `> ${target}`, holds: value > target};
}
