import {X509Certificate, createPrivateKey} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {Result} from 'true-myth';
import {Finding} from '../types';
import {TlsMaterial} from './tls_material';
import {TlsSource} from './tls_source';

const PEM_PREFIX = '-----BEGIN';

/**
 * Reads TLS material and checks that certificate and key belong together.
 *
 * @param source paths or PEM texts
 * @returns the material, or every finding with the setting as its place
 */
export function readTlsMaterial(
  source: TlsSource,
): Result<TlsMaterial, readonly Finding[]> {
  const findings: Finding[] = [];
  const read = (place: string, value: string) => {
    const text = readPem(value);
    if (text.isOk) return text.value;
    findings.push({place, message: text.error});
    return '';
  };
  const material: TlsMaterial = {
    certificate: read('tls-certificate', source.certificate),
    key: read('tls-key', source.key),
    authorities: read('tls-authorities', source.authorities),
  };
  if (findings.length === 0) findings.push(...checkMaterial(material));
  return findings.length > 0 ? Result.err(findings) : Result.ok(material);
}

function readPem(value: string): Result<string, string> {
  if (value.startsWith(PEM_PREFIX)) return Result.ok(value);
  try {
    return Result.ok(readFileSync(value, 'utf8'));
  } catch (error) {
    return Result.err((error as Error).message);
  }
}

function checkMaterial(material: TlsMaterial): readonly Finding[] {
  const findings: Finding[] = [];
  const check = (place: string, isGood: () => boolean, message: string) => {
    if (!passes(isGood)) findings.push({place, message});
  };
  check(
    'tls-certificate',
    () => Boolean(new X509Certificate(material.certificate)),
    'is no certificate in PEM form',
  );
  check(
    'tls-key',
    () => Boolean(createPrivateKey(material.key)),
    'is no private key in PEM form',
  );
  check(
    'tls-authorities',
    () => Boolean(new X509Certificate(material.authorities)),
    'is no certificate in PEM form',
  );
  if (findings.length > 0) return findings;
  check(
    'tls-key',
    () =>
      new X509Certificate(material.certificate).checkPrivateKey(
        createPrivateKey(material.key),
      ),
    'does not belong to the certificate',
  );
  return findings;
}

function passes(isGood: () => boolean): boolean {
  try {
    return isGood();
  } catch {
    return false;
  }
}
