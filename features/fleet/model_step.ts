import fc from 'fast-check';

/** What may happen next in the model. */
export enum ModelStepKind {
  Pass,
  LandLate,
  Review,
  Refresh,
  Tick,
  Elect,
  Declare,
  ChangeWave,
  Configure,
  Crash,
  StickReboot,
  Leave,
  Unlist,
  Quarantine,
}

/** One step of the model; the numbers pick among what there is. */
export interface ModelStep {
  readonly kind: ModelStepKind;
  readonly a: number;
  readonly b: number;
}

const WEIGHTS: Readonly<Record<ModelStepKind, number>> = {
  [ModelStepKind.Pass]: 40,
  [ModelStepKind.LandLate]: 3,
  [ModelStepKind.Review]: 25,
  [ModelStepKind.Refresh]: 12,
  [ModelStepKind.Tick]: 15,
  [ModelStepKind.Elect]: 2,
  [ModelStepKind.Declare]: 3,
  [ModelStepKind.ChangeWave]: 1,
  [ModelStepKind.Configure]: 1,
  [ModelStepKind.Crash]: 2,
  [ModelStepKind.StickReboot]: 1,
  [ModelStepKind.Leave]: 1,
  [ModelStepKind.Unlist]: 1,
  [ModelStepKind.Quarantine]: 1,
};

const PICK_LIMIT = 10_000;

/** Generates one interleaving of a given length. */
export function interleavings(length: number): fc.Arbitrary<ModelStep[]> {
  const pick = fc.noBias(fc.nat(PICK_LIMIT));
  const kinds = Object.entries(WEIGHTS).map(([kind, weight]) => ({
    weight,
    arbitrary: fc.constant(Number(kind) as ModelStepKind),
  }));
  const step = fc.record({kind: fc.oneof(...kinds), a: pick, b: pick});
  return fc.array(step, {minLength: length, maxLength: length});
}
