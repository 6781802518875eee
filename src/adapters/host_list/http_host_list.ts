import {Result} from 'true-myth';
import {Agent, request} from 'undici';
import {HostList} from '../../ports';
import {Host} from '../../types';

/** Address of the host list service and timeout of its calls. */
export interface HttpHostListOptions {
  /** Base URL of the service. */
  readonly url: string;
  /** Timeout of a call in ms. */
  readonly timeoutMs: number;
}

/** The last host list with its ETag. */
interface CachedHostList {
  readonly etag: string;
  readonly hosts: readonly Host[];
}

/**
 * Creates a client that reads the host list over HTTP.
 *
 * It keeps the last list and its ETag, so that an unchanged list isn't
 * transferred again.
 *
 * @param options address and timeout
 * @returns the host list, which the caller must dispose
 */
export function createHttpHostList(options: HttpHostListOptions): HostList {
  const agent = new Agent({connections: 1});
  let cached: CachedHostList | undefined;

  return {
    async read() {
      try {
        const response = await request(`${options.url}/hosts`, {
          dispatcher: agent,
          headers: cached ? {'if-none-match': cached.etag} : {},
          signal: AbortSignal.timeout(options.timeoutMs),
        });
        if (response.statusCode === 304 && cached) {
          await response.body.dump();
          return Result.ok(cached.hosts);
        }
        const body = await response.body.json();
        if (response.statusCode === 200) {
          cached = createCachedHostList(response.headers.etag, body as Host[]);
          return Result.ok(body as Host[]);
        }
        return Result.err(
          `host list service responded with status ${response.statusCode}`,
        );
      } catch (error) {
        return Result.err((error as Error).message);
      }
    },
    dispose: () => void agent.destroy(),
  };
}

function createCachedHostList(
  etag: string | string[] | undefined,
  hosts: readonly Host[],
): CachedHostList | undefined {
  return typeof etag === 'string' ? {etag, hosts} : undefined;
}
