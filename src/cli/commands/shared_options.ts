import {OperatorClient, createOperatorClient} from '../operator_client';
import {Output} from '../output';

/** Options of every command that calls an entry host. */
export const operatorOptions = {
  url: {
    type: 'string',
    default: process.env.SESAMEFRONT_URL ?? 'http://127.0.0.1:8081',
    defaultDescription: 'SESAMEFRONT_URL or http://127.0.0.1:8081',
    describe: "base URL of an entry host's operators' port",
  },
  token: {
    type: 'string',
    default: process.env.SESAMEFRONT_TOKEN,
    defaultDescription: 'SESAMEFRONT_TOKEN',
    describe: "operators' token",
  },
  output: {
    choices: Object.values(Output),
    default: Output.Table,
    describe: 'form of the result',
  },
} as const;

/** Options of every command that calls as a caller. */
export const callerOptions = {
  'caller-url': {
    type: 'string',
    default: process.env.SESAMEFRONT_CALLER_URL ?? 'http://127.0.0.1:8080',
    defaultDescription: 'SESAMEFRONT_CALLER_URL or http://127.0.0.1:8080',
    describe: "base URL of an entry host's callers' port",
  },
  output: operatorOptions.output,
} as const;

/** Creates the client that the options name. */
export function clientOf(options: {
  readonly url: string;
  readonly token?: string;
}): OperatorClient {
  return createOperatorClient(options.url, options.token);
}
