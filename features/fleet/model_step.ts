import fc from 'fast-check';

/** Kinds of steps of the fleet model. */
export enum ModelStepKind {
  ReleaseCall,
  ApplyLateWrite,
  Review,
  Refresh,
  Tick,
  Elect,
  Declare,
  ChangeWave,
  Configure,
  Crash,
  StuckReboot,
  Leave,
  Unlist,
  Quarantine,
}

/**
 * One step of the fleet model. The numbers select a target and a variant by
 * their remainder, for example the leader with index `a % leaders.length`.
 */
export interface ModelStep {
  readonly kind: ModelStepKind;
  readonly a: number;
  readonly b: number;
}

const WEIGHTS: Readonly<Record<ModelStepKind, number>> = {
  [ModelStepKind.ReleaseCall]: 40,
  [ModelStepKind.ApplyLateWrite]: 3,
  [ModelStepKind.Review]: 25,
  [ModelStepKind.Refresh]: 12,
  [ModelStepKind.Tick]: 15,
  [ModelStepKind.Elect]: 2,
  [ModelStepKind.Declare]: 3,
  [ModelStepKind.ChangeWave]: 1,
  [ModelStepKind.Configure]: 1,
  [ModelStepKind.Crash]: 2,
  [ModelStepKind.StuckReboot]: 1,
  [ModelStepKind.Leave]: 1,
  [ModelStepKind.Unlist]: 1,
  [ModelStepKind.Quarantine]: 1,
};

const MAX_PICK = 10_000;

/** Returns an arbitrary that generates interleavings of `length` steps. */
export function generateInterleaving(
  length: number,
): fc.Arbitrary<ModelStep[]> {
  const pick = fc.noBias(fc.nat(MAX_PICK));
  const kinds = Object.entries(WEIGHTS).map(([kind, weight]) => ({
    weight,
    arbitrary: fc.constant(Number(kind) as ModelStepKind),
  }));
  const step = fc.record({kind: fc.oneof(...kinds), a: pick, b: pick});
  return fc.array(step, {minLength: length, maxLength: length});
}
