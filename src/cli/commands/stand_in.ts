import {request} from 'undici';
import type {Argv} from 'yargs';
import {createPlatformServer} from '../../stand_ins/platform';
import {createHost, findSite, siteOptions} from '../../stand_ins/site';
import {createWorkerModel, createWorkerServer} from '../../stand_ins/worker';
import {Host} from '../../types';

/** Adds the commands that run stand-ins of the platform and of the workers. */
export function addStandIn(yargs: Argv): Argv {
  return yargs.command('stand-in', 'run a stand-in for tests', command =>
    command
      .command(
        'platform',
        'run a key-value service and a host list',
        sub =>
          sub
            .option('address', {type: 'string', default: '127.0.0.1'})
            .option('port', {type: 'number', default: 9000}),
        async options => {
          await createPlatformServer(options.address, options.port);
          process.stdout.write(
            `platform listening on ${options.address}:${options.port}\n`,
          );
        },
      )
      .command(
        'workers',
        "run a site's workers and register them in the host list",
        sub =>
          sub
            .options(siteOptions)
            .option('address', {type: 'string', default: '127.0.0.1'})
            .option('first-port', {type: 'number', default: 10000})
            .option('reboot-ms', {type: 'number', default: 2_000})
            .option('host-list-url', {
              type: 'string',
              default: 'http://127.0.0.1:9000',
            }),
        async options => {
          const site = findSite(options.site);
          let port = options.firstPort;
          for (const pool of site.pools) {
            for (let i = 0; i < pool.workers; i += 1) {
              const host = createHost(site, pool, i, options.address, port);
              await serveWorker(host, options.rebootMs, options.hostListUrl);
              port += 1;
            }
          }
          const count = port - options.firstPort;
          process.stdout.write(
            `started ${count} workers of site ${site.name}\n`,
          );
        },
      )
      .demandCommand(1),
  );
}

async function serveWorker(
  host: Host,
  rebootMs: number,
  hostListUrl: string,
): Promise<void> {
  const model = createWorkerModel({host, rebootMs});
  await createWorkerServer(model, host.port);
  const response = await request(`${hostListUrl}/hosts`, {
    method: 'POST',
    body: JSON.stringify(host),
  });
  await response.body.dump();
}
