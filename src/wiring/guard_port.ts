import {UnexpectedErrors} from '../telemetry';

/**
 * Wraps a port, so that a call that throws resolves to an outcome instead.
 *
 * @param port an object of functions
 * @param activity name of the port in the report of errors
 * @param outcome outcome of a call whose effect is unknown
 * @param errors receives what was thrown
 */
export function guardPort<P extends object>(
  port: P,
  activity: string,
  outcome: unknown,
  errors: UnexpectedErrors,
): P {
  const guarded = Object.entries(port).map(([name, call]) => [
    name,
    guardCall(call as Call, error => {
      errors.report(activity, error, {call: name});
      return outcome;
    }),
  ]);
  return Object.fromEntries(guarded) as P;
}

type Call = (...parameters: unknown[]) => unknown;

function guardCall(call: Call, fail: (error: unknown) => unknown): Call {
  return (...parameters) => {
    try {
      const result = call(...parameters);
      return result instanceof Promise ? result.catch(fail) : result;
    } catch (error) {
      return Promise.resolve(fail(error));
    }
  };
}
