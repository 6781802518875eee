import {WorkerFailure} from '../../ports';

const CONNECT_ERROR_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** Reads a worker's refusal; one that isn't known proves nothing. */
export function parseRefusal(
  header: string | string[] | undefined,
): WorkerFailure {
  const known = Object.values(WorkerFailure).find(value => value === header);
  return known ?? WorkerFailure.ConnectionLost;
}

/** Tells what went wrong from a client error. */
export function classifyError(error: unknown): WorkerFailure {
  const {code = '', name = ''} = error as {code?: string; name?: string};
  if (CONNECT_ERROR_CODES.includes(code)) return WorkerFailure.ConnectFailed;
  if (name === 'TimeoutError') return WorkerFailure.Silent;
  if (name === 'AbortError') return WorkerFailure.Cancelled;
  return WorkerFailure.ConnectionLost;
}
