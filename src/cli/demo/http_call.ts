import {Agent, request} from 'undici';

/** An answer's status and JSON body. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: unknown;
}

const agent = new Agent({connections: 64});

/** Makes one JSON call. */
export async function callJson(
  method: 'GET' | 'POST' | 'PUT',
  url: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<HttpAnswer> {
  const response = await request(url, {
    method,
    dispatcher: agent,
    headers,
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  return {status: response.statusCode, body: await response.body.json()};
}
