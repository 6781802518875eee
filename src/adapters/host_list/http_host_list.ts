import {Result} from 'true-myth';
import {Agent, request} from 'undici';
import {z} from 'zod';
import {decode, hostFormat} from '../../formats';
import {HostList} from '../../ports';
import {Host} from '../../types';
import {readJson} from '../shared';

/** Address of the host list service and timeout of its calls. */
export interface HttpHostListOptions {
  /** Base URL of the service. */
  readonly url: string;
  /** Timeout of a call in ms. */
  readonly timeoutMs: number;
  /** Called with each entry that is omitted, and why. */
  readonly onInvalid?: (id: string, cause: string) => void;
}

/** Maximum length of a list in bytes. */
const MAX_LIST_BYTES = 33_554_432;
/** Maximum length of an unreadable entry's name in the log, in characters. */
const MAX_NAME_LENGTH = 64;

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

  function readEntries(entries: readonly unknown[]): readonly Host[] {
    const hosts = new Map<string, Host>();
    entries.forEach((entry, index) => {
      const read = decode(hostFormat, entry);
      if (read.isErr)
        return options.onInvalid?.(nameOf(entry, index), read.error);
      const host = read.value;
      if (!hosts.has(host.id)) hosts.set(host.id, host);
      else options.onInvalid?.(host.id, 'is listed more than once');
    });
    return [...hosts.values()];
  }

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
        const body = await readJson(response.body, MAX_LIST_BYTES);
        if (response.statusCode === 200) {
          const hosts = readEntries(z.array(z.unknown()).parse(body));
          cached = createCachedHostList(response.headers.etag, hosts);
          return Result.ok(hosts);
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

/** Returns the id of an entry that can't be read, or else its position. */
function nameOf(entry: unknown, index: number): string {
  const id = (entry as {id?: unknown} | null)?.id;
  return typeof id === 'string' ? id.slice(0, MAX_NAME_LENGTH) : `#${index}`;
}
