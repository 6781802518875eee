import {Result} from 'true-myth';
import {ObservableValue, createObservableValue} from '../state';
import {Finding} from '../types';
import {readTlsMaterial} from './read_tls_material';
import {TlsMaterial} from './tls_material';
import {TlsSource} from './tls_source';

/** This member's TLS material, read again while the process runs. */
export interface TlsIdentity {
  readonly material: ObservableValue<TlsMaterial>;
  dispose(): void;
}

const RELOAD_MS = 5_000;

/**
 * Creates the identity and starts to reload it.
 *
 * Material that can't be read or doesn't fit together is reported and leaves
 * the last good one in use.
 *
 * @param source paths or PEM texts
 * @param onFindings told of findings when a reload fails
 * @returns the identity, or every finding
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
    }, RELOAD_MS);
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
