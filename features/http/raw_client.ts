import {connect} from 'node:net';

/** What came back over one connection. */
export interface RawAnswer {
  /** Status of the first answer; 0 if none came. */
  readonly status: number;
  readonly headers: string;
  /** Body of the first answer. */
  readonly body: string;
  /** What came after the first answer's stated length. */
  readonly after: string;
  /** True if the connection was reset rather than closed. */
  readonly reset: boolean;
}

const ADDRESS = '127.0.0.1';

/**
 * Sends bytes over a fresh connection and reads until it is closed.
 *
 * @param port port of the server
 * @param bytes what to send
 * @param keepOpen leaves the sending side open afterwards
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
  return {status, headers, body, after: text.slice(end), reset};
}
