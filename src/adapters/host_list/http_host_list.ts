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

/**
 * Creates a reader of the host list over HTTP.
 *
 * @param options address and time limit
 * @returns the host list, which its owner disposes
 */
export function createHttpHostList(options: HttpHostListOptions): HostList {
  const agent = new Agent({connections: 1});

  return {
    async read() {
      try {
        const response = await request(`${options.url}/hosts`, {
          dispatcher: agent,
          signal: AbortSignal.timeout(options.timeoutMs),
        });
        const body = await response.body.json();
        if (response.statusCode === 200) return Result.ok(body as Host[]);
        return Result.err(`host list answered ${response.statusCode}`);
      } catch (error) {
        return Result.err((error as Error).message);
      }
    },
    dispose: () => void agent.destroy(),
  };
}
