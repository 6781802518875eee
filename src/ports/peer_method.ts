/** A unary call between members; gRPC takes it as a method definition. */
export interface PeerMethod<Request, Reply> {
  /** Full path, "/package.Service/Method". */
  readonly path: string;
  readonly requestStream: false;
  readonly responseStream: false;
  readonly requestSerialize: (value: Request) => Buffer;
  readonly requestDeserialize: (bytes: Buffer) => Request;
  readonly responseSerialize: (value: Reply) => Buffer;
  readonly responseDeserialize: (bytes: Buffer) => Reply;
}
