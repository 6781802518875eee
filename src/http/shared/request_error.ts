import {RefusalReason} from '../../types';

/** Something wrong with a request, found before anything was run. */
export class RequestError extends Error {
  constructor(
    readonly reason: RefusalReason,
    message: string,
  ) {
    super(message);
  }
}

/** Creates the error for a request that can't be read. */
export function createBadRequest(message: string): RequestError {
  return new RequestError(RefusalReason.BadRequest, message);
}

/** Creates the error for a body that exceeds its limit. */
export function createBodyTooLarge(limitBytes: number): RequestError {
  const message = `body exceeds ${limitBytes} bytes`;
  return new RequestError(RefusalReason.BodyTooLarge, message);
}
