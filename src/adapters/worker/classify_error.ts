import {WorkerFailure} from '../../ports';

const CONNECT_ERROR_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/**
 * Parses the header with which a worker refuses a call.
 *
 * An unknown value counts as a lost connection, because it doesn't prove that
 * nothing was run.
 */
export function parseRefusal(
  header: string | string[] | undefined,
): WorkerFailure {
  const known = Object.values(WorkerFailure).find(value => value === header);
  return known ?? WorkerFailure.ConnectionLost;
}

/** Returns the failure that corresponds to an error of the HTTP client. */
export function classifyError(error: unknown): WorkerFailure {
  const {code = '', name = ''} = (error ?? {}) as {
    code?: string;
    name?: string;
  };
  if (code === 'ERR_INVALID_URL') return WorkerFailure.ConnectFailed;
  if (CONNECT_ERROR_CODES.includes(code)) return WorkerFailure.ConnectFailed;
  if (name === 'TimeoutError') return WorkerFailure.Silent;
  if (name === 'AbortError') return WorkerFailure.Cancelled;
  return WorkerFailure.ConnectionLost;
}
