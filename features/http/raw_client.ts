import {connect} from 'node:net';

/** Bytes received over one connection, parsed as HTTP. */
export interface RawAnswer {
  /** Status of the first answer; 0 if there was none. */
  readonly status: number;
  /** Status line and headers of the first answer. */
  readonly headers: string;
  /** Body of the first answer. */
  readonly body: string;
  /** Bytes received after the content length of the first answer. */
  readonly trailing: string;
  /**
   * Whether the connection failed, for example by a reset, instead of being
   * closed.
   */
  readonly reset: boolean;
}

const ADDRESS = '127.0.0.1';

/**
 * Sends bytes over a new connection and reads until the connection is closed.
 *
 * @param port TCP port of the server
 * @param bytes bytes to send
 * @param keepOpen whether the sending side stays open afterwards
 */
export function sendRaw(
  port: number,
  bytes: Uint8Array | string,
  keepOpen = false,
): Promise<RawAnswer> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let reset = false;
    const socket = connect(port, ADDRESS, () => {
      if (keepOpen) socket.write(bytes);
      else socket.end(bytes);
    });
    socket.on('data', chunk => chunks.push(chunk));
    socket.on('error', () => (reset = true));
    socket.on('close', () => resolve(parse(Buffer.concat(chunks), reset)));
  });
}

function parse(received: Buffer, reset: boolean): RawAnswer {
  const [headers, ...rest] = received.toString('latin1').split('\r\n\r\n');
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(headers)?.[1] ?? 0);
  const length = /content-length: (\d+)/i.exec(headers)?.[1];
  const text = rest.join('\r\n\r\n');
  const end = length === undefined ? text.length : Number(length);
  const body = text.slice(0, end);
  return {status, headers, body, trailing: text.slice(end), reset};
}
