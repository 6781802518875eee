import type {Argv} from 'yargs';
import {Job} from '../../types';
import {createOperatorClient} from '../operator_client';
import {Row, writeRows} from '../output';
import {callerOptions} from './shared_options';

/** Adds the commands about long jobs. */
export function addJob(yargs: Argv): Argv {
  return yargs.command('job', 'submit and follow long jobs', command =>
    command
      .command(
        'submit <service>',
        'submit a job',
        sub =>
          sub
            .options(callerOptions)
            .positional('service', {type: 'string', demandOption: true})
            .option('input', {type: 'string', default: ''})
            .option('team', {type: 'string', default: ''})
            .option('idempotency-key', {type: 'string'})
            .option('idempotent', {type: 'boolean'})
            .option('due-in', {type: 'string', default: '12h'}),
        async options => {
          const {input, team, idempotencyKey, idempotent, dueIn} = options;
          const body = {input, team, idempotencyKey, idempotent, dueIn};
          const client = createOperatorClient(options.callerUrl, undefined);
          const path = `/jobs/${options.service}`;
          const job = await client.call<Job>('POST', path, body);
          writeRows(options.output, [rowOf(job)], job);
        },
      )
      .command(
        'list <service>',
        "list a service's jobs",
        sub =>
          sub
            .options(callerOptions)
            .positional('service', {type: 'string', demandOption: true}),
        async options => {
          const client = createOperatorClient(options.callerUrl, undefined);
          const path = `/jobs/${options.service}`;
          const jobs = await client.call<Job[]>('GET', path);
          writeRows(options.output, jobs.map(rowOf), jobs);
        },
      )
      .command(
        'show <service> <id>',
        'show one job',
        sub => addIdentity(sub),
        async options => {
          const client = createOperatorClient(options.callerUrl, undefined);
          const path = `/jobs/${options.service}/${options.id}`;
          const job = await client.call<Job>('GET', path);
          writeRows(options.output, [rowOf(job)], job);
        },
      )
      .command(
        'cancel <service> <id>',
        'cancel one job',
        sub => addIdentity(sub),
        async options => {
          const client = createOperatorClient(options.callerUrl, undefined);
          const path = `/jobs/${options.service}/${options.id}`;
          const job = await client.call<Job>('DELETE', path);
          writeRows(options.output, [rowOf(job)], job);
        },
      )
      .demandCommand(1),
  );
}

function addIdentity(yargs: Argv) {
  return yargs
    .options(callerOptions)
    .positional('service', {type: 'string', demandOption: true})
    .positional('id', {type: 'string', demandOption: true});
}

function rowOf(job: Job): Row {
  return {
    id: job.id,
    state: job.state,
    attempts: job.attempts.length,
    cause: job.cause,
  };
}
