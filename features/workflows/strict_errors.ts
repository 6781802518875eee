import {
  TermErrors,
  createTermErrors,
  createTermFailures,
} from '../../src/actors/workflows';

/** Fails the scenario on an error that a scenario does not expect. */
export function throwError(...parameters: readonly unknown[]): never {
  throw parameters[parameters.length - 1];
}

/** Creates the error handling of a term in which no error is expected. */
export function createStrictErrors(): TermErrors {
  const report = (_: string, error: unknown) => throwError(error);
  return createTermErrors({report}, {report}, createTermFailures(), throwError);
}
