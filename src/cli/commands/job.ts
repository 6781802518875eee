import type {Argv} from 'yargs';
import {JobRefusal, ReleaseDecision} from '../../actors/jobs';
import {Job, JobState} from '../../types';
import {ExitCode} from '../exit_code';
import {createOperatorClient} from '../operator_client';
import {Row, writeRows} from '../output';
import {callerOptions, createClient, operatorOptions} from './shared_options';

interface CancelResponse {
  readonly jobs: readonly Job[];
  readonly refused: readonly JobRefusal[];
}

/** Adds the commands that submit and manage long-running jobs. */
export function addJob(yargs: Argv): Argv {
  return yargs.command('job', 'submit and manage long-running jobs', command =>
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
            .option('due-in', {type: 'string', default: '12h'})
            .option('run-time', {type: 'string', default: '1m'}),
        async options => {
          const {input, team, idempotencyKey, idempotent} = options;
          const {dueIn, runTime} = options;
          const submission = {input, team, idempotencyKey, idempotent};
          const body = {...submission, dueIn, runTime};
          const client = createOperatorClient(options.callerUrl, undefined);
          const path = `/jobs/${options.service}`;
          const job = await client.call<Job>('POST', path, body);
          writeRows(options.output, [toRow(job)], job);
        },
      )
      .command(
        'list <service>',
        "list a service's jobs",
        sub =>
          sub
            .options(callerOptions)
            .option('overdue', {
              type: 'boolean',
              default: false,
              describe:
                'list only unfinished jobs that are past their due time',
            })
            .option('state', {choices: Object.values(JobState)})
            .positional('service', {type: 'string', demandOption: true}),
        async options => {
          const client = createOperatorClient(options.callerUrl, undefined);
          const query = new URLSearchParams({
            overdue: String(options.overdue),
            ...(options.state && {state: options.state}),
          });
          const path = `/jobs/${options.service}?${query}`;
          const jobs = await client.call<Job[]>('GET', path);
          writeRows(options.output, jobs.map(toRow), jobs);
        },
      )
      .command(
        'show <service> <id>',
        'show one job',
        sub => addServiceAndId(sub),
        async options => {
          const client = createOperatorClient(options.callerUrl, undefined);
          const path = `/jobs/${options.service}/${options.id}`;
          const job = await client.call<Job>('GET', path);
          writeRows(options.output, [toRow(job)], job);
        },
      )
      .command(
        'cancel <service> <ids..>',
        'cancel jobs',
        sub =>
          sub
            .options(callerOptions)
            .positional('service', {type: 'string', demandOption: true})
            .positional('ids', {
              type: 'string',
              array: true,
              demandOption: true,
            }),
        async options => {
          const client = createOperatorClient(options.callerUrl, undefined);
          const path = `/jobs/${options.service}/cancel`;
          const {ids} = options;
          const response = await client.call<CancelResponse>('POST', path, {
            ids,
          });
          writeRows(options.output, response.jobs.map(toRow), response);
          if (response.refused.length > 0) process.exit(ExitCode.Failed);
        },
      )
      .command(
        'release <service> <id>',
        'resolve a job that is held for a decision by an operator',
        sub =>
          sub
            .options(operatorOptions)
            .positional('service', {type: 'string', demandOption: true})
            .positional('id', {type: 'string', demandOption: true})
            .option('decision', {
              choices: Object.values(ReleaseDecision),
              demandOption: true,
              describe: 'whether to run the job again or to mark it as failed',
            }),
        async options => {
          const {service, decision} = options;
          const path = `/v1/jobs/${options.id}/release`;
          const body = {service, decision};
          const job = await createClient(options).call<Job>('POST', path, body);
          writeRows(options.output, [toRow(job)], job);
        },
      )
      .demandCommand(1),
  );
}

function addServiceAndId(yargs: Argv) {
  return yargs
    .options(callerOptions)
    .positional('service', {type: 'string', demandOption: true})
    .positional('id', {type: 'string', demandOption: true});
}

function toRow(job: Job): Row {
  return {
    id: job.id,
    state: job.state,
    attempts: job.attempts.length,
    cause: job.cause,
  };
}
