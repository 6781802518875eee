import {Agent, request} from 'undici';

/** Status and JSON body of a response. */
export interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
}

const agent = new Agent({connections: 64});

/** Sends one request with a JSON body and reads the JSON response. */
export async function callJson(
  method: 'GET' | 'POST' | 'PUT',
  url: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<HttpResponse> {
  const response = await request(url, {
    method,
    dispatcher: agent,
    headers,
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  return {status: response.statusCode, body: await response.body.json()};
}
