/**
 * Definition of a unary RPC between members; compatible with gRPC's method
 * definitions.
 */
export interface PeerMethod<Request, Reply> {
  /** Full path in the form "/package.Service/Method". */
  readonly path: string;
  readonly requestStream: false;
  readonly responseStream: false;
  readonly requestSerialize: (value: Request) => Buffer;
  readonly requestDeserialize: (bytes: Buffer) => Request;
  readonly responseSerialize: (value: Reply) => Buffer;
  readonly responseDeserialize: (bytes: Buffer) => Reply;
}
