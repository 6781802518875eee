import protobuf from 'protobufjs/minimal.js';
import {PeerMethod} from '../ports';

// 64-bit fields read as numbers whether or not the optional package "long" is there.
protobuf.util.Long = undefined as never;
protobuf.configure();

/** Static protobuf code of one message type. */
export interface MessageCodec<T> {
  encode(message: T): {finish(): Uint8Array};
  decode(bytes: Uint8Array): T;
}

/**
 * Defines a unary gRPC method from the static code of its messages.
 *
 * @param path full method path, "/package.Service/Method"
 * @param request codec of the request
 * @param reply codec of the reply
 */
export function createMethod<Request, Reply>(
  path: string,
  request: MessageCodec<Request>,
  reply: MessageCodec<Reply>,
): PeerMethod<Request, Reply> {
  return {
    path,
    requestStream: false,
    responseStream: false,
    requestSerialize: value => Buffer.from(request.encode(value).finish()),
    requestDeserialize: bytes => toPlainObject(request.decode(bytes)),
    responseSerialize: value => Buffer.from(reply.encode(value).finish()),
    responseDeserialize: bytes => toPlainObject(reply.decode(bytes)),
  };
}

/** A message of the static code, whose absent fields are on its prototype only. */
interface DecodedMessage {
  readonly constructor: {
    toObject?(message: unknown, options: object): unknown;
  };
}

/** Returns a message as plain data that holds every field. */
function toPlainObject<T>(message: T): T {
  const {constructor} = message as DecodedMessage;
  if (!constructor.toObject) return message;
  return constructor.toObject(message, {defaults: true, arrays: true}) as T;
}
