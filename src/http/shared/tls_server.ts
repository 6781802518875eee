import type {ServerOptions} from 'node:http';
import {Server, createServer} from 'node:https';
import {TlsIdentity, TlsMaterial} from '../../security';

/**
 * Creates an HTTPS server that follows an identity's reloads.
 *
 * Client certificates are asked for, not demanded: routes decide what needs one.
 *
 * @param identity certificate, key and authorities
 * @param options limits of the server
 */
export function createReloadingServer(
  {material}: TlsIdentity,
  options: ServerOptions,
): Server {
  const server = createServer({
    ...options,
    ...toTlsOptions(material.get()),
    requestCert: true,
    rejectUnauthorized: false,
  });
  const unsubscribe = material.onChange(value =>
    server.setSecureContext(toTlsOptions(value)),
  );
  server.on('close', unsubscribe);
  return server;
}

function toTlsOptions({certificate, key, authorities}: TlsMaterial) {
  return {cert: certificate, key, ca: authorities};
}
