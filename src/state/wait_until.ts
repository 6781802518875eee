import {ObservableValue} from './observable_value';

/**
 * Waits until an observed value meets a condition.
 *
 * @param observed the value
 * @param isMet returns whether the condition is met
 * @param timeoutMs maximum wait in ms
 * @returns whether the condition is met
 */
export function waitUntil<T>(
  observed: ObservableValue<T>,
  isMet: (value: T) => boolean,
  timeoutMs: number,
): Promise<boolean> {
  if (isMet(observed.get())) return Promise.resolve(true);
  return new Promise(resolve => {
    const end = (met: boolean) => {
      clearTimeout(timer);
      stopObserving();
      resolve(met);
    };
    const timer = setTimeout(() => end(false), timeoutMs);
    const stopObserving = observed.onChange(value => {
      if (isMet(value)) end(true);
    });
  });
}
