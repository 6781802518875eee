import {RefusalReason} from '../../types';

/** Error in a request, detected before any part of it was run. */
export class RequestError extends Error {
  constructor(
    readonly reason: RefusalReason,
    message: string,
  ) {
    super(message);
  }
}

/** Creates the error for an invalid request. */
export function createBadRequest(message: string): RequestError {
  return new RequestError(RefusalReason.BadRequest, message);
}

/** Creates the error for a body that exceeds the size limit. */
export function createBodyTooLarge(limitBytes: number): RequestError {
  const message = `body exceeds ${limitBytes} bytes`;
  return new RequestError(RefusalReason.BodyTooLarge, message);
}
