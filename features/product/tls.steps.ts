import assert from 'node:assert/strict';
import {generateKeyPairSync} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {RequestOptions, request} from 'node:https';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {TLSSocket} from 'node:tls';
import {After, Given, Then, When} from '@cucumber/cucumber';
import selfsigned from 'selfsigned';
import {
  GrpcPeerServer,
  createGrpcCredentials,
  createGrpcPeerServer,
  createGrpcPeers,
} from '../../src/adapters/peer';
import {createOperatorHandler} from '../../src/http/operators';
import {Listener, createListener, sendJson} from '../../src/http/shared';
import {heartbeatMethod} from '../../src/protocol';
import {TlsIdentity, TlsMaterial, createTlsIdentity} from '../../src/security';
import {createObservableValue, delay} from '../../src/state';
import {Finding, Member} from '../../src/types';
import {advance} from '../support/paused_clock';

const ADDRESS = '127.0.0.1';
const CALL_TIMEOUT_MS = 30_000;
const KEY_BITS = 2048;
const VALID_DAYS = 3_650;

const first = createMaterial('first');
const second = createMaterial('second');
const otherAuthority = createMaterial('other');

let token = '';
let listener: Listener | undefined;
let peerServer: GrpcPeerServer | undefined;
let identity: TlsIdentity;
let directory: string | undefined;
let findings: readonly Finding[] = [];

After(async () => {
  await listener?.dispose();
  await peerServer?.dispose();
  identity?.dispose();
  if (directory) rmSync(directory, {recursive: true});
  listener = undefined;
  peerServer = undefined;
  directory = undefined;
});

Given(
  'an operator port with TLS and the token {string}',
  async (expected: string) => {
    token = expected;
    identity = createIdentity(first);
    listener = await createListener(ADDRESS, 0, {}, identity);
    const route = {
      method: 'GET' as const,
      path: '/v1/status',
      handle: async (_: unknown, response: Parameters<typeof sendJson>[0]) =>
        sendJson(response, 200, {}),
    };
    listener.serve(createOperatorHandler([route], token));
  },
);

Then('a call without a token or a client certificate gets 401', async () => {
  assert.equal((await call({})).status, 401);
});

Then('a call with the token gets 200', async () => {
  const headers = {authorization: `Bearer ${token}`};
  assert.equal((await call({headers})).status, 200);
});

Then(
  'a call with a client certificate from the trusted authority gets 200',
  async () => {
    const {certificate, key} = first;
    assert.equal((await call({cert: certificate, key})).status, 200);
  },
);

Then(
  'a call with a client certificate from another authority gets 401',
  async () => {
    const {certificate, key} = otherAuthority;
    assert.equal((await call({cert: certificate, key})).status, 401);
  },
);

When("the port's certificate is replaced", () => identity.material.set(second));

Then('a new connection is served the new certificate', async () => {
  const {subject} = await call({ca: second.authorities});
  assert.equal(subject, 'second');
});

Given('a peer port with mutual TLS', async () => {
  identity = createIdentity(first);
  const {server} = createGrpcCredentials(identity);
  peerServer = await createGrpcPeerServer(ADDRESS, 0, server);
  const heartbeat = {
    memberId: 'a',
    configurationRevision: 7,
    incarnation: '',
    storeAnswers: true,
  };
  peerServer.serve([{method: heartbeatMethod, handle: async () => heartbeat}]);
});

Then(
  'a heartbeat with a certificate from the trusted authority is answered',
  async () => {
    const reply = await sendHeartbeat(first);
    assert.ok(reply.isOk && reply.value.configurationRevision === 7);
  },
);

Then(
  'a heartbeat with a certificate from another authority is not answered',
  async () => {
    const reply = await sendHeartbeat({
      ...otherAuthority,
      authorities: first.authorities,
    });
    assert.ok(reply.isErr);
  },
);

Given('a port that uses them', async () => {
  listener = await createListener(ADDRESS, 0, {}, identity);
  listener.serve(async (_, response) => sendJson(response, 200, {}));
});

When('the certificate file has a second certificate that is cut off', () => {
  const {certificate} = first;
  const cut = second.certificate.slice(0, second.certificate.length / 2);
  writeFiles({...first, certificate: `${certificate}\n${cut}`});
});

When('{int} seconds pass', {timeout: CALL_TIMEOUT_MS}, (seconds: number) =>
  delay(seconds * 1_000),
);

Then('the port still answers', async () => {
  assert.equal((await call({})).status, 200);
});

Given('TLS files with a certificate and its key', () => {
  directory = mkdtempSync(join(tmpdir(), 'tls-'));
  writeFiles(first);
  findings = [];
  const created = createTlsIdentity(
    {
      certificate: join(directory, 'certificate'),
      key: join(directory, 'key'),
      authorities: join(directory, 'authorities'),
    },
    reported => (findings = reported),
  );
  if (created.isErr) throw new Error(JSON.stringify(created.error));
  identity = created.value;
});

When('the key file is replaced by a key that does not match', () =>
  writeFiles({...first, key: second.key}),
);

When('the certificate file is replaced by the one that matches the key', () =>
  writeFiles(second),
);

When('{int} seconds pass until the reload', (seconds: number) =>
  advance(seconds * 1_000),
);

Then(
  'the finding names {string} and the first certificate stays in use',
  (place: string) => {
    assert.deepEqual(
      findings.map(finding => finding.place),
      [place],
    );
    assert.equal(identity.material.get().certificate, first.certificate);
  },
);

Then('the second certificate is in use', () => {
  assert.equal(identity.material.get().certificate, second.certificate);
});

function createMaterial(name: string): TlsMaterial {
  const options = {
    keyPair: generateKeyPairSync('rsa', {
      modulusLength: KEY_BITS,
      publicKeyEncoding: {type: 'spki', format: 'pem'},
      privateKeyEncoding: {type: 'pkcs8', format: 'pem'},
    }),
    algorithm: 'sha256',
    days: VALID_DAYS,
    extensions: [
      {name: 'basicConstraints', cA: true},
      {name: 'subjectAltName', altNames: [{type: 7, ip: ADDRESS}]},
    ],
  };
  const attributes = [{name: 'commonName', value: name}];
  const {cert, private: key} = selfsigned.generate(attributes, options);
  return {certificate: cert, key, authorities: cert};
}

function createIdentity(material: TlsMaterial): TlsIdentity {
  return {material: createObservableValue(material), dispose: () => {}};
}

function writeFiles({certificate, key, authorities}: TlsMaterial): void {
  writeFileSync(join(directory ?? '', 'certificate'), certificate);
  writeFileSync(join(directory ?? '', 'key'), key);
  writeFileSync(join(directory ?? '', 'authorities'), authorities);
}

function call(
  options: RequestOptions,
): Promise<{status: number; subject: string}> {
  return new Promise((resolve, reject) => {
    const sent = request(
      {
        host: ADDRESS,
        port: listener?.port,
        path: '/v1/status',
        ca: first.authorities,
        agent: false,
        ...options,
      },
      response => {
        const socket = response.socket as TLSSocket;
        const subject = String(socket.getPeerCertificate().subject.CN);
        response.resume();
        response.on('end', () =>
          resolve({status: response.statusCode ?? 0, subject}),
        );
      },
    );
    sent.on('error', reject);
    sent.end();
  });
}

async function sendHeartbeat(material: TlsMaterial) {
  const {channel} = createGrpcCredentials(createIdentity(material));
  const peers = createGrpcPeers(channel);
  const member: Member = {
    id: 'b',
    availabilityZone: 'zone-a',
    address: ADDRESS,
    callerPort: 0,
    operatorPort: 0,
    peerPort: peerServer?.port ?? 0,
    startedAt: 0,
    leaving: false,
  };
  const request = {
    memberId: 'b',
    configurationRevision: 1,
    incarnation: '',
    storeAnswers: true,
  };
  const reply = await peers.call(
    member,
    heartbeatMethod,
    request,
    CALL_TIMEOUT_MS,
  );
  peers.dispose();
  return reply;
}
