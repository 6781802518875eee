import {Result} from 'true-myth';
import {ObservableValue, createObservableValue} from '../state';
import {Finding} from '../types';
import {readTlsMaterial} from './read_tls_material';
import {TlsMaterial} from './tls_material';
import {TlsSource} from './tls_source';

/** TLS material of this member, reloaded at a fixed interval. */
export interface TlsIdentity {
  /**
   * The material in use; notifies its listeners of each reload that changes it.
   */
  readonly material: ObservableValue<TlsMaterial>;
  /** Stops reloading. */
  dispose(): void;
}

const RELOAD_INTERVAL_MS = 5_000;

/**
 * Reads TLS material and reloads it at a fixed interval.
 *
 * If a reload fails because the material can't be read or is inconsistent, the
 * last valid material stays in use.
 *
 * @param source file paths or PEM texts
 * @param onFindings called with the findings of a failed reload
 * @returns the identity, or all findings if the first read fails
 */
export function createTlsIdentity(
  source: TlsSource,
  onFindings: (findings: readonly Finding[]) => void,
): Result<TlsIdentity, readonly Finding[]> {
  return readTlsMaterial(source).map(first => {
    const material = createObservableValue(first);
    const timer = setInterval(() => {
      const read = readTlsMaterial(source);
      if (read.isErr) return onFindings(read.error);
      if (!isSame(read.value, material.get())) material.set(read.value);
    }, RELOAD_INTERVAL_MS);
    return {material, dispose: () => clearInterval(timer)};
  });
}

function isSame(a: TlsMaterial, b: TlsMaterial): boolean {
  return (
    a.certificate === b.certificate &&
    a.key === b.key &&
    a.authorities === b.authorities
  );
}
