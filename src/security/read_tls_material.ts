import {X509Certificate, createPrivateKey} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {createSecureContext} from 'node:tls';
import {Result} from 'true-myth';
import {Finding} from '../types';
import {TlsMaterial} from './tls_material';
import {TlsSource} from './tls_source';

const PEM_PREFIX = '-----BEGIN';

/**
 * Reads TLS material and checks that the private key matches the certificate.
 *
 * @param source file paths or PEM texts
 * @returns the material, or all findings, each with its setting as the place
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
  const check = (place: string, isValid: () => boolean, message: string) => {
    if (!passes(isValid)) findings.push({place, message});
  };
  check(
    'tls-certificate',
    () => Boolean(new X509Certificate(material.certificate)),
    'is not a valid PEM certificate',
  );
  check(
    'tls-key',
    () => Boolean(createPrivateKey(material.key)),
    'is not a valid PEM private key',
  );
  check(
    'tls-authorities',
    () => Boolean(new X509Certificate(material.authorities)),
    'is not a valid PEM certificate',
  );
  if (findings.length > 0) return findings;
  check(
    'tls-key',
    () =>
      new X509Certificate(material.certificate).checkPrivateKey(
        createPrivateKey(material.key),
      ),
    'does not match the certificate',
  );
  if (findings.length > 0) return findings;
  const {certificate, key, authorities} = material;
  check(
    'tls-certificate',
    () =>
      Boolean(createSecureContext({cert: certificate, key, ca: authorities})),
    'is not accepted together with the key and the authorities',
  );
  return findings;
}

function passes(isValid: () => boolean): boolean {
  try {
    return isValid();
  } catch {
    return false;
  }
}
