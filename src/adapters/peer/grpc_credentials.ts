import {
  ChannelCredentials,
  ServerCredentials,
  experimental,
} from '@grpc/grpc-js';
import {TlsIdentity, TlsMaterial} from '../../security';

/** Credentials for mutual TLS between members. */
export interface GrpcCredentials {
  /** For the server that other members call. */
  readonly server: ServerCredentials;
  /** For calls to other members. */
  readonly channel: ChannelCredentials;
}

/**
 * Creates gRPC credentials that are updated when the identity is reloaded.
 *
 * @param identity certificate, key and authorities
 */
export function createGrpcCredentials(identity: TlsIdentity): GrpcCredentials {
  const provider = createProvider(identity);
  return {
    server: experimental.createCertificateProviderServerCredentials(
      provider,
      provider,
      true,
    ),
    channel: experimental.createCertificateProviderChannelCredentials(
      provider,
      provider,
    ),
  };
}

function createProvider({
  material,
}: TlsIdentity): experimental.CertificateProvider {
  const authorities = createListeners(material, toAuthorities);
  const identities = createListeners(material, toIdentity);
  return {
    addCaCertificateListener: authorities.add,
    removeCaCertificateListener: authorities.remove,
    addIdentityCertificateListener: identities.add,
    removeIdentityCertificateListener: identities.remove,
  };
}

function createListeners<Update>(
  material: TlsIdentity['material'],
  convert: (material: TlsMaterial) => Update,
) {
  const unsubscribers = new Map<(update: Update) => void, () => void>();
  return {
    add(listener: (update: Update) => void) {
      const notify = (value: TlsMaterial) => listener(convert(value));
      unsubscribers.set(listener, material.onChange(notify));
      process.nextTick(notify, material.get());
    },
    remove(listener: (update: Update) => void) {
      unsubscribers.get(listener)?.();
      unsubscribers.delete(listener);
    },
  };
}

function toAuthorities({
  authorities,
}: TlsMaterial): experimental.CaCertificateUpdate {
  return {caCertificate: Buffer.from(authorities)};
}

function toIdentity({
  certificate,
  key,
}: TlsMaterial): experimental.IdentityCertificateUpdate {
  return {certificate: Buffer.from(certificate), privateKey: Buffer.from(key)};
}
