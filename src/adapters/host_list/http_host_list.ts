import {Result} from 'true-myth';
import {Agent, request} from 'undici';
import {HostList} from '../../ports';
import {Host} from '../../types';

/** How the host list is reached. */
export interface HttpHostListOptions {
  readonly url: string;
  /** Time limit of a call in ms. */
  readonly timeoutMs: number;
}

/** A list with the tag under which the service knows it. */
interface TaggedList {
  readonly tag: string;
  readonly hosts: readonly Host[];
}

/**
 * Creates a reader of the host list over HTTP.
 *
 * @param options address and time limit
 * @returns the host list, which its owner disposes
 */
export function createHttpHostList(options: HttpHostListOptions): HostList {
  const agent = new Agent({connections: 1});
  let known: TaggedList | undefined;

  return {
    async read() {
      try {
        const response = await request(`${options.url}/hosts`, {
          dispatcher: agent,
          headers: known ? {'if-none-match': known.tag} : {},
          signal: AbortSignal.timeout(options.timeoutMs),
        });
        if (response.statusCode === 304 && known) {
          await response.body.dump();
          return Result.ok(known.hosts);
        }
        const body = await response.body.json();
        if (response.statusCode === 200) {
          known = tagList(response.headers.etag, body as Host[]);
          return Result.ok(body as Host[]);
        }
        return Result.err(`host list answered ${response.statusCode}`);
      } catch (error) {
        return Result.err((error as Error).message);
      }
    },
    dispose: () => void agent.destroy(),
  };
}

function tagList(
  tag: string | string[] | undefined,
  hosts: readonly Host[],
): TaggedList | undefined {
  return typeof tag === 'string' ? {tag, hosts} : undefined;
}
