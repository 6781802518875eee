import type {ServerOptions} from 'node:http';
import {Server, createServer} from 'node:https';
import {TlsIdentity, TlsMaterial} from '../../security';

/**
 * Creates an HTTPS server that applies new TLS material when the identity is
 * reloaded.
 *
 * Client certificates are requested but not required, because the routes decide
 * which requests need one.
 *
 * @param identity certificate, key and authorities
 * @param options options of the HTTP server
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
