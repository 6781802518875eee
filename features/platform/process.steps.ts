import assert from 'node:assert/strict';
import {once} from 'node:events';
import {closeSync, openSync, writeFileSync} from 'node:fs';
import {Server, connect, createServer} from 'node:net';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {
  CALLERS_PORT,
  EntryProcess,
  METRICS_PORT,
  READY_PORT,
  createEntryProcess,
} from './entry_process';

const WAIT_MS = 15_000;
const POLL_MS = 50;

let entry: EntryProcess;

After({tags: '@real-clock'}, () => entry?.dispose());

async function waitUntil(
  what: string,
  holds: () => Promise<boolean> | boolean,
): Promise<void> {
  const until = performance.now() + WAIT_MS;
  while (!(await holds())) {
    assert.ok(performance.now() < until, `not in time: ${what}`);
    assert.equal(entry.end, undefined, `ended: ${entry.output}`);
    await delay(POLL_MS);
  }
}

function isAnswered(): Promise<void> {
  return waitUntil('an answer of the readiness check', async () => {
    return (await entry.call(READY_PORT)).status !== 0;
  });
}

function getSettings({ip}: EntryProcess): Record<string, string> {
  return {
    nodeName: 'front-1',
    zone: 'zone-a',
    ip,
    'listen.front': `${ip}:${CALLERS_PORT}`,
    'listen.ready': `${ip}:${READY_PORT}`,
    'limits.cpuShare': '0.675',
    'limits.maxFds': '4100',
    // Nothing listens there; the process is never ready.
    'platform.address': `${ip}:1`,
    'platform.ttlMinMs': '1000',
    'bounds.holdMaxMs': '10000',
    'bounds.leaseMs': '3000',
    'bounds.moveS': '1.5',
    'bounds.upkeepS': '2',
    'bounds.stopMs': '900',
    'bounds.status_s': '120',
    'bounds.graceS': '6',
    'bounds.configApplyMs': '2000',
  };
}

Given(
  /^an entry host whose standard output and error are (.*)$/,
  async (output: string) => {
    entry = createEntryProcess();
    entry.writeSettings(getSettings(entry));
    if (output === 'a pipe without its reader') {
      entry.start({before: 'exec > >(:) 2>&1; sleep 0.2'});
    } else {
      const limited = output === 'a file at its size limit';
      const path = limited ? join(entry.folder, 'log') : '/dev/full';
      const file = openSync(path, 'a');
      const before = limited ? 'ulimit -f 1' : undefined;
      entry.start({stdio: ['ignore', file, file], before});
      closeSync(file);
    }
    await isAnswered();
  },
);

When('its settings change {int} times', async (count: number) => {
  for (let change = 0; change < count; change += 1) {
    entry.signal('SIGHUP');
    await delay(POLL_MS);
  }
});

Then('it answers the readiness check', isAnswered);

Then('its metrics count log lines that were not written', () =>
  waitUntil('a count of lines', async () => {
    const {text} = await entry.call(METRICS_PORT, '/metrics');
    return /^sesamefront_log_write_failures_total [1-9]/m.test(text);
  }),
);

Given(
  'an entry host that gets {word} as soon as its program loads a module',
  async (signal: string) => {
    entry = createEntryProcess();
    entry.writeSettings(getSettings(entry));
    const preload = join(entry.folder, 'signal.cjs');
    writeFileSync(
      preload,
      `const module_ = require('node:module');
      const load = module_._load;
      let isProgram = false;
      module_._load = (request, ...rest) => {
        if (isProgram) {
          module_._load = load;
          process.kill(process.pid, '${signal}');
        }
        isProgram ||= request === process.argv[1];
        return load(request, ...rest);
      };`,
    );
    entry.start({preload});
    await isAnswered();
  },
);

Given(
  /^an entry host whose settings file is (missing|empty|cut off)$/,
  async (content: string) => {
    entry = createEntryProcess();
    const lines = Object.entries(getSettings(entry));
    if (content === 'empty') entry.writeSettings({});
    if (content === 'cut off') {
      entry.writeSettings(Object.fromEntries(lines.slice(0, 4)));
    }
    entry.start();
    await waitUntil('a line', () => /settings awaited/.test(entry.output));
  },
);

When('it gets SIGHUP and the settings file is complete', async () => {
  entry.signal('SIGHUP');
  await delay(POLL_MS);
  entry.writeSettings(getSettings(entry));
  await isAnswered();
});

Given(
  'an entry host whose setting {string} is {string}',
  (name: string, value: string) => {
    entry = createEntryProcess();
    entry.writeSettings({...getSettings(entry), [name]: value});
    entry.start();
  },
);

Then(
  'it ends with code {int} and its last line names {string}',
  async (code: number, name: string) => {
    const until = performance.now() + WAIT_MS;
    while (entry.end === undefined && performance.now() < until) {
      await delay(POLL_MS);
    }
    assert.equal(entry.end, code, entry.output);
    const lines = entry.output.trimEnd().split('\n');
    assert.ok(lines.filter(line => !line.startsWith('{')).length === 1);
    assert.match(entry.output, new RegExp(`invalid values: ${name}`));
  },
);

Given(
  'an entry host whose settings have no bounds, limits and zone',
  async () => {
    entry = createEntryProcess();
    const named = Object.entries(getSettings(entry)).filter(
      ([name]) => !/^(bounds|limits|zone|ip|platform\.ttl)/.test(name),
    );
    entry.writeSettings(Object.fromEntries(named));
    entry.start();
    await isAnswered();
  },
);

const PORTS: Readonly<Record<string, number>> = {
  callers: CALLERS_PORT,
  readiness: READY_PORT,
  metrics: METRICS_PORT,
};

let otherProgram: Server;
let usedPort = 0;

Given(
  'another program listens on the port of the {word}',
  async (server: string) => {
    entry = createEntryProcess();
    entry.writeSettings(getSettings(entry));
    usedPort = PORTS[server];
    otherProgram = createServer(socket => void socket.destroy());
    otherProgram.listen(usedPort, entry.ip);
    await once(otherProgram, 'listening');
  },
);

When('the entry host starts', () => entry.start());

function areAnswered(ports: readonly number[]): Promise<void> {
  return waitUntil(`answers of ${ports.join(', ')}`, async () => {
    const answers = await Promise.all(ports.map(port => entry.call(port)));
    return answers.every(({status}) => status !== 0);
  });
}

Then('the other servers of the entry host answer', () =>
  areAnswered(Object.values(PORTS).filter(port => port !== usedPort)),
);

Then(
  'its metrics count an error of the {word} if they are served',
  async (server: string) => {
    if (usedPort === METRICS_PORT) return;
    const {text} = await entry.call(METRICS_PORT, '/metrics');
    assert.ok(text.includes(`server_errors_total{server="${server}"}`));
  },
);

When('the other program ends', () => void otherProgram.close());

Then('all servers of the entry host answer', () =>
  areAnswered(Object.values(PORTS)),
);

When('{int} callers are connected', async (count: number) => {
  for (let i = 0; i < count; i += 1) {
    const socket = connect(CALLERS_PORT, entry.ip);
    socket.on('error', () => {});
    await once(socket, 'connect');
  }
});

Then(
  'its metrics have {int} connections, its heap and a reading of the settings',
  (count: number) =>
    waitUntil('all metrics', async () => {
      const {text} = await entry.call(METRICS_PORT, '/metrics');
      return [
        `sesamefront_caller_connections ${count}\n`,
        'process_heap_bytes ',
        'sesamefront_settings_reloads_total{outcome="done"} 1\n',
      ].every(sample => text.includes(sample));
    }),
);
