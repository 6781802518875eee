import {OperatorClient, createOperatorClient} from '../operator_client';
import {Output} from '../output';

/** Options of every command that calls the operator API of an entry host. */
export const operatorOptions = {
  url: {
    type: 'string',
    default: process.env.SESAMEFRONT_URL ?? 'http://127.0.0.1:8081',
    defaultDescription: 'SESAMEFRONT_URL or http://127.0.0.1:8081',
    describe: "base URL of an entry host's operator API",
  },
  token: {
    type: 'string',
    default: process.env.SESAMEFRONT_TOKEN,
    defaultDescription: 'SESAMEFRONT_TOKEN',
    describe: 'token for the operator API',
  },
  output: {
    choices: Object.values(Output),
    default: Output.Table,
    describe: 'output format',
  },
} as const;

/** Options of every command that calls the caller API of an entry host. */
export const callerOptions = {
  'caller-url': {
    type: 'string',
    default: process.env.SESAMEFRONT_CALLER_URL ?? 'http://127.0.0.1:8080',
    defaultDescription: 'SESAMEFRONT_CALLER_URL or http://127.0.0.1:8080',
    describe: "base URL of an entry host's caller API",
  },
  output: operatorOptions.output,
} as const;

/** Creates a client of the operator API from the command's options. */
export function createClient(options: {
  readonly url: string;
  readonly token?: string;
}): OperatorClient {
  return createOperatorClient(options.url, options.token);
}
