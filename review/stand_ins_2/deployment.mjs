// A small deployment: entry hosts as processes, with stand-ins of the rest.
import {spawn} from 'node:child_process';
import console from 'node:console';
import {randomBytes} from 'node:crypto';
import {
  closeSync,
  existsSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {call, serve} from './http.mjs';
import {createMachines} from './machines.mjs';
import {createStore} from './store.mjs';
import {createWorkers} from './workers.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
const PROGRAM = 'target/entry.cjs';
const READY_MS = 15_000;
const RESTART_MS = 300;
/** A script ends by itself after this time. */
const LIMIT_MS = 115_000;

/** Results of a script, as its exit codes. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Whether the disruption takes place. */
export const TROUBLE = process.env.TROUBLE !== '0';

/** Returns a new id of a submission. */
export function createId() {
  return randomBytes(8).toString('hex');
}

function getFreePort(ip) {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen({host: ip, port: 0}, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/**
 * Runs a case and ends the process with its result.
 *
 * @param folder folder of the case, for its record
 * @param play plays the case; resolves to a result
 */
export async function runCase(folder, play) {
  const lines = [];
  const startedAt = performance.now();
  const cleanups = [];
  const record = (what, details = {}) => {
    const at = ((performance.now() - startedAt) / 1_000).toFixed(3);
    lines.push(`${at} ${what} ${JSON.stringify(details)}`);
  };
  const finish = (result, words) => {
    record('result', {result, words, trouble: TROUBLE});
    for (const cleanup of cleanups.reverse()) cleanup();
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    console.log(words);
    process.exit(result);
  };
  const limit = setTimeout(() => finish(NOT_RUN, 'out of time'), LIMIT_MS);
  limit.unref();
  process.on('SIGTERM', () => finish(NOT_RUN, 'ended from outside'));
  process.on('SIGINT', () => finish(NOT_RUN, 'ended from outside'));
  try {
    const {result, words} = await play({
      record,
      onEnd: cleanup => cleanups.push(cleanup),
    });
    finish(result, words);
  } catch (error) {
    record('error', {error: String(error?.stack ?? error)});
    finish(NOT_RUN, `could not run: ${error?.message ?? error}`);
  }
}

/**
 * Starts a deployment.
 *
 * @param options entry hosts, services with their workers, routes, and work
 */
export async function startDeployment({
  record,
  onEnd,
  entryHosts = 3,
  services,
  routes,
  getWork,
  settings = {},
  isBarred,
  onSeen,
  advise = async () => ({status: 429}),
  prepare = () => {},
}) {
  if (!existsSync(join(ROOT, PROGRAM))) throw new Error(`no ${PROGRAM}`);
  const folder = mkdtempSync(join(tmpdir(), 'review-2-'));
  onEnd(() => rmSync(folder, {recursive: true, force: true}));
  const [a, b] = randomBytes(2);
  const net1 = `127.${1 + (a % 250)}.${b}`;
  const store = createStore();
  const storeAddress = `${net1}.1:${await getFreePort(`${net1}.1`)}`;
  const stopMs = Number(settings['bounds.stopMs'] ?? 400);
  const workers = createWorkers({
    store,
    record,
    getWork,
    stopMs,
    isBarred,
    onSeen,
  });
  onEnd(() => workers.dispose());
  const addresses = new Map();
  async function createWorker(service, kind, cpu = 16_000) {
    const number = workers.all.length;
    const worker = workers.createWorker({
      service,
      zone: 'zone-a',
      machine: `m${number + 1}`,
      rack: `r1-${1 + (number % 2)}`,
      kind,
      capacity: {cpu, memMb: 32_768, gpu: 0},
    });
    const ip = `${net1}.${20 + number}`;
    addresses.set(worker, {ip, port: await getFreePort(ip)});
    return worker;
  }
  for (const {name, count, cpu, kinds = ['standard']} of services) {
    for (let i = 0; i < count; i += 1) {
      await createWorker(name, kinds[i % kinds.length], cpu);
    }
  }
  const spares = new Set(
    services.filter(({spare}) => spare).map(({name}) => name),
  );
  const machines = createMachines({
    workers,
    record,
    spares,
    moveMs: 1_500,
    upkeepMs: 2_000,
  });
  const cloudAddress = `${net1}.2:${await getFreePort(`${net1}.2`)}`;
  const at = address => {
    const [ip, port] = address.split(':');
    return [ip, Number(port)];
  };
  await store.listen(...at(storeAddress));
  await machines.listen(...at(cloudAddress), each => addresses.get(each));
  const adviceAddress = `${net1}.3:${await getFreePort(`${net1}.3`)}`;
  await serve(...at(adviceAddress), advise);
  const config = {
    version: 3,
    routes: routes.map(route => ({
      maxAttempts: 3,
      stretch: 2,
      targetDurationMs: 2_000,
      priority: 0,
      ...route,
    })),
    services: services.map(({name, spare}) => ({
      name,
      rejectsOverload: true,
      ...(spare ? {spare: true} : {}),
    })),
    limits: {},
  };
  store.put('op/config', config);
  for (const [worker, {ip, port}] of addresses) {
    if (!spares.has(worker.service)) await worker.start(ip, port);
  }
  const hosts = [];
  const deployment = {
    store,
    workers,
    machines,
    hosts,
    config,
    addresses,
    configure(routesNow) {
      config.version += 4;
      config.routes = routesNow ?? config.routes;
      const revision = store.put('op/config', config);
      record('configuration', {version: config.version, revision});
    },
    /** Adds a machine with its worker. */
    async addWorker(service) {
      const worker = await createWorker(service, 'standard');
      const {ip, port} = addresses.get(worker);
      await worker.start(ip, port);
      return worker;
    },
    getWorker: id => workers.all.find(each => each.id === id),
    /** Returns the entry host that leads, by the store. */
    findLeader() {
      const text = store.read('live/leader');
      if (text === undefined) return undefined;
      const {memberId} = JSON.parse(text);
      return hosts.find(({name}) => name === memberId);
    },
    submit: (host, path, body, limitMs = 3_000) =>
      callHost(host, 'POST', path, {body, limitMs}),
    read: (host, path, limitMs = 3_000) =>
      callHost(host, 'GET', path, {limitMs}),
    cancel: (host, path, limitMs = 3_000) =>
      callHost(host, 'DELETE', path, {limitMs}),
  };

  async function callHost(host, method, path, {body, limitMs}) {
    const headers = {host: 'queues.example', 'x-deadline-ms': String(limitMs)};
    record('sent', {host: host.name, method, path, body});
    const answer = await call(host.front, method, path, {
      body,
      headers,
      limitMs,
    });
    record('answered', {host: host.name, method, path, ...answer});
    return answer;
  }

  function spawnHost(host) {
    const log = openSync(host.log, 'a');
    const child = spawn('node', ['--max-old-space-size=200', PROGRAM], {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        SESAMEFRONT_SETTINGS: host.settings,
      },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    host.child = child;
    host.startedAt = performance.now();
    record('entry host started', {host: host.name, pid: child.pid});
    child.on('exit', (code, signal) => {
      record('entry host ended', {host: host.name, code, signal});
      host.ends.push({code, signal});
      if (host.stays) return;
      setTimeout(() => !host.stays && spawnHost(host), RESTART_MS);
    });
  }

  for (let i = 1; i <= entryHosts; i += 1) {
    const ip = `${net1}.${200 + i}`;
    const host = {
      name: `front-a-${i}`,
      ip,
      front: `${ip}:${await getFreePort(ip)}`,
      ready: `${ip}:${await getFreePort(ip)}`,
      settings: join(folder, `${i}.conf`),
      log: join(folder, `${i}.log`),
      ends: [],
      /** Whether it isn't started again when it ends. */
      stays: false,
      readLog: () => readFileSync(host.log, 'utf8'),
    };
    const values = {
      nodeName: host.name,
      role: 'entry',
      machineClass: 'front',
      serves: 'front',
      ip,
      zone: 'zone-a',
      region: 'region-a',
      'zones.zone-a': 'region-a',
      'listen.front': host.front,
      'listen.ready': host.ready,
      portRange: '7060,7075',
      seeds: '',
      bootstrap: 'true',
      countsAsLoss: 'false',
      'limits.cpuShare': '0.675',
      'limits.cores': '1',
      'limits.memoryMb': '350',
      'limits.maxFds': '4100',
      'limits.linkMbps': '1000.0',
      'limits.diskMb': '0',
      discovery: 'platform',
      entry: 'vip',
      heartbeatMs: '1500',
      contracts:
        'base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing',
      'faultTolerance.machines': '2',
      'bounds.contactMs': '3000',
      'bounds.ackMs': '4000',
      'bounds.drainMs': '2000',
      'bounds.graceS': '6',
      'bounds.configApplyMs': '2000',
      'bounds.holdMaxMs': '10000',
      'bounds.stopMs': String(stopMs),
      'bounds.gangTimeoutMs': '3000',
      'bounds.cancel_ms': '3000',
      'bounds.visible_ms': '3000',
      'bounds.status_s': '120',
      'bounds.moveS': '1.5',
      'bounds.upkeepS': '2',
      'bounds.fencingRequired': 'false',
      'bounds.leaseMs': '3000',
      orders: 'dispatch',
      advice: adviceAddress,
      'platform.address': storeAddress,
      'platform.form': 'kv',
      'platform.writesPerS': '400',
      'platform.readsPerS': '2000',
      'platform.historyS': '20',
      'platform.valueBytes': '1048576',
      'platform.ttlMinMs': '1000',
      'cloudApi.address': cloudAddress,
      'cloudApi.ratePerS': '64.0',
      'cloudApi.dutiesPerS': '64.0',
      ...settings,
    };
    const text = Object.entries(values).map(pair => `${pair.join('=')}\n`);
    writeFileSync(host.settings, text.join(''));
    hosts.push(host);
  }
  onEnd(() => {
    for (const host of hosts) {
      host.stays = true;
      host.child?.kill('SIGCONT');
      host.child?.kill('SIGKILL');
    }
  });
  await prepare(deployment);
  for (const host of hosts) spawnHost(host);
  deployment.spawnHost = spawnHost;
  const until = performance.now() + READY_MS;
  deployment.whenReady = async host => {
    for (;;) {
      const {status} = await call(host.ready, 'GET', '/-/ready', {
        limitMs: 1_000,
      });
      if (status === 200) return;
      if (performance.now() > until) throw new Error(`${host.name} not ready`);
      await delay(100);
    }
  };
  for (const host of hosts) await deployment.whenReady(host);
  while (!deployment.findLeader()) {
    if (performance.now() > until) throw new Error('no leader');
    await delay(50);
  }
  await delay(1_500);
  record('ready', {leader: deployment.findLeader()?.name});
  return deployment;
}
