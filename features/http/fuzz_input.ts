import fc from 'fast-check';

const METHODS = [
  'GET',
  'POST',
  'PUT',
  'DELETE',
  'TRACE',
  'NONSENSE',
  'get',
  '',
];
const TARGETS = [
  '/',
  '/services',
  '/services/',
  '/services//x',
  '/services/a b',
  '/services/%zz/x',
  '/services/planner-api/../../report',
  '/services/planner-api/%2e%2e/report',
  '/services/planner-api/x?q=1',
  '/v1/hosts/%zz',
  '/v1/configuration',
  '/jobs/planner-api',
  '*',
  'http://other/',
  '',
];
const HEADERS = [
  'content-length: -1',
  'content-length: 5',
  'content-length: 99999999999',
  'transfer-encoding: chunked',
  'transfer-encoding: chunked, identity',
  'idempotency-key: ',
  'sesamefront-idempotent: perhaps',
  'sesamefront-deadline-ms: soon',
  'sesamefront-deadline-ms: 1e999',
  ': no name',
  'no colon',
  'x: \u0000',
  'expect: 200-maybe',
  'connection: upgrade\r\nupgrade: h2c',
];

const requestText = fc
  .record({
    method: fc.constantFrom(...METHODS),
    target: fc.oneof(fc.constantFrom(...TARGETS), fc.string({maxLength: 40})),
    version: fc.constantFrom('HTTP/1.1', 'HTTP/1.0', 'HTTP/3', 'X'),
    headers: fc.array(
      fc.oneof(fc.constantFrom(...HEADERS), fc.string({maxLength: 60})),
      {maxLength: 4},
    ),
    body: fc.string({maxLength: 60}),
  })
  .map(({method, target, version, headers, body}) =>
    Buffer.from(
      [`${method} ${target} ${version}`, 'host: a', ...headers, '', body].join(
        '\r\n',
      ),
      'latin1',
    ),
  );

const randomBytes = fc
  .uint8Array({minLength: 1, maxLength: 200})
  .map(bytes => Buffer.from(bytes));

/**
 * Generates malformed input for an HTTP port: requests with invalid parts, and
 * random bytes.
 *
 * @param seed seed of the random sequence
 * @param count number of inputs to generate
 */
export function createFuzzInput(
  seed: number,
  count: number,
): readonly Buffer[] {
  const input = fc.oneof(
    {weight: 4, arbitrary: requestText},
    {weight: 1, arbitrary: randomBytes},
  );
  return fc.sample(input, {seed, numRuns: count});
}
