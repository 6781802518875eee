import assert from 'node:assert/strict';
import {AddressInfo, Socket, connect, createServer} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {createGrpcPeerServer, createGrpcPeers} from '../../src/adapters/peer';
import {Peers} from '../../src/ports';
import {heartbeatMethod} from '../../src/protocol';
import {Member} from '../../src/types';

const ADDRESS = '127.0.0.1';
const CALL_TIMEOUT_MS = 400;
const HEARTBEAT = {
  memberId: 'a',
  configurationRevision: 1,
  incarnation: '',
  storeAnswers: true,
};

let peers: Peers;
let member: Member;
let connections: Socket[] = [];
let disposals: (() => void | Promise<void>)[] = [];

After(async () => {
  for (const dispose of disposals.reverse()) await dispose();
  disposals = [];
  connections = [];
});

Given('two members that are connected through a middlebox', async () => {
  const server = await createGrpcPeerServer(ADDRESS, 0);
  disposals.push(() => server.dispose());
  server.serve([
    {method: heartbeatMethod, handle: async heartbeat => heartbeat},
  ]);
  const middlebox = createServer(socket => {
    connections.push(socket);
    const outgoing = connect(server.port, ADDRESS);
    socket.pipe(outgoing).pipe(socket);
    socket.on('error', () => outgoing.destroy());
    outgoing.on('error', () => socket.destroy());
  });
  await new Promise<void>(resolve => middlebox.listen(0, ADDRESS, resolve));
  disposals.push(() => {
    connections.forEach(socket => socket.destroy());
    middlebox.close();
  });
  peers = createGrpcPeers();
  disposals.push(() => peers.dispose());
  const {port} = middlebox.address() as AddressInfo;
  member = {id: 'b', address: ADDRESS, peerPort: port} as Member;
  // The first call also opens the connection, so it has a long timeout.
  const first = await peers.call(member, heartbeatMethod, HEARTBEAT, 60_000);
  assert.ok(first.isOk);
  assert.equal(connections.length, 1);
});

When('the middlebox silently drops all traffic of the open connection', () => {
  connections[0].unpipe();
  connections[0].removeAllListeners('data');
  connections[0].pause();
});

Then(
  'two heartbeats time out and the third one is answered over a new connection',
  async () => {
    const sendHeartbeat = () =>
      peers.call(member, heartbeatMethod, HEARTBEAT, CALL_TIMEOUT_MS);
    assert.ok((await sendHeartbeat()).isErr);
    assert.ok((await sendHeartbeat()).isErr);
    const third = await peers.call(member, heartbeatMethod, HEARTBEAT, 60_000);
    assert.ok(third.isOk);
    assert.equal(connections.length, 2);
  },
);
