import {setTimeout} from 'node:timers';
import process from 'node:process';
import {spawn} from 'node:child_process';
import {closeSync, openSync, readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {join} from 'node:path';

/** Delay in ms after which a process that has ended is started again. */
const RESTART_MS = 1_000;
const PORTS = {front: 8624, ready: 8622, control: 8623, metrics: 9464};

/** Returns the words of the command with which the deploy file runs an entry. */
function readCommand(root) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

function isFree(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Returns a loopback address on which the ports of an entry host are free. */
export async function findAddress() {
  for (;;) {
    const part = () => 1 + Math.floor(Math.random() * 250);
    const host = `127.${part()}.${part()}.${part()}`;
    const free = await Promise.all(
      Object.values(PORTS).map(port => isFree(host, port)),
    );
    if (free.every(Boolean)) return host;
  }
}

/** Starts an entry host as its own process, with the deploy file's command. */
export async function startEntry({
  root,
  folder,
  name,
  addresses,
  settings,
  onOwnEnd,
}) {
  const ip = await findAddress();
  const path = join(folder, `${name}.conf`);
  const lines = {
    nodeName: name,
    role: 'entry',
    machineClass: 'front',
    serves: 'front',
    ip,
    zone: 'zone-a',
    region: 'region-a',
    'zones.zone-a': 'region-a',
    'listen.front': `${ip}:${PORTS.front}`,
    'listen.ready': `${ip}:${PORTS.ready}`,
    'listen.control': `${ip}:${PORTS.control}`,
    'limits.cpuShare': '0.675',
    'limits.cores': '1',
    'limits.memoryMb': '350',
    'limits.maxFds': '4100',
    bootstrap: 'true',
    discovery: 'platform',
    entry: 'vip',
    heartbeatMs: '1500',
    contracts:
      'base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing',
    orders: 'dispatch',
    advice: addresses.advice,
    'platform.address': addresses.store,
    'platform.form': 'kv',
    'cloudApi.address': addresses.machines,
    ...settings,
  };
  const text = Object.entries(lines).map(([key, value]) => `${key}=${value}\n`);
  writeFileSync(path, text.join(''));
  const [command, ...words] = readCommand(root);
  let stopped = false;
  const entry = {
    name,
    front: `${ip}:${PORTS.front}`,
    child: undefined,
    /** Number of times that the process has ended by itself. */
    ownEnds: 0,
    readLog: () => readFileSync(join(folder, `${name}.log`), 'utf8'),
    /** Sends a signal to the process. */
    signal: signal => entry.child.kill(signal),
    /** Ends the process for good. */
    kill() {
      stopped = true;
      entry.child.kill('SIGKILL');
    },
  };

  function run() {
    if (stopped) return;
    const output = openSync(join(folder, `${name}.log`), 'a');
    entry.child = spawn(command, words, {
      cwd: root,
      env: {PATH: process.env.PATH, SESAMEFRONT_SETTINGS: path},
      stdio: ['ignore', output, output],
    });
    closeSync(output);
    entry.child.on('exit', (code, signal) => {
      if (stopped) return;
      entry.ownEnds += 1;
      onOwnEnd({name, exit: signal ?? code, ownEnds: entry.ownEnds});
      // The platform starts a process again that ends by itself.
      setTimeout(run, RESTART_MS);
    });
  }
  run();
  return entry;
}
