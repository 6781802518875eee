import assert from 'node:assert/strict';
import {AddressInfo, Socket, connect, createServer} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {createGrpcPeerServer, createGrpcPeers} from '../../src/adapters/peer';
import {Peers} from '../../src/ports';
import {heartbeatMethod} from '../../src/protocol';
import {Member} from '../../src/types';

const ADDRESS = '127.0.0.1';
const CALL_LIMIT_MS = 400;
const HEARTBEAT = {
  memberId: 'a',
  configurationRevision: 1,
  incarnation: '',
  storeAnswers: true,
};

let peers: Peers;
let member: Member;
let opened: Socket[] = [];
let disposals: (() => void | Promise<void>)[] = [];

After(async () => {
  for (const dispose of disposals.reverse()) await dispose();
  disposals = [];
  opened = [];
});

Given('two members whose connection passes a middlebox', async () => {
  const server = await createGrpcPeerServer(ADDRESS, 0);
  disposals.push(() => server.dispose());
  server.serve([{method: heartbeatMethod, handle: async beat => beat}]);
  const middlebox = createServer(socket => {
    opened.push(socket);
    const onward = connect(server.port, ADDRESS);
    socket.pipe(onward).pipe(socket);
    socket.on('error', () => onward.destroy());
    onward.on('error', () => socket.destroy());
  });
  await new Promise<void>(resolve => middlebox.listen(0, ADDRESS, resolve));
  disposals.push(() => {
    opened.forEach(socket => socket.destroy());
    middlebox.close();
  });
  peers = createGrpcPeers();
  disposals.push(() => peers.dispose());
  const {port} = middlebox.address() as AddressInfo;
  member = {id: 'b', address: ADDRESS, peerPort: port} as Member;
  // The first call opens the connection and takes as long as it takes.
  const first = await peers.call(member, heartbeatMethod, HEARTBEAT, 60_000);
  assert.ok(first.isOk);
  assert.equal(opened.length, 1);
});

When('the middlebox forgets the open connection without a word', () => {
  opened[0].unpipe();
  opened[0].removeAllListeners('data');
  opened[0].pause();
});

Then(
  'the third heartbeat at the latest is answered over a new connection',
  async () => {
    const silent = () =>
      peers.call(member, heartbeatMethod, HEARTBEAT, CALL_LIMIT_MS);
    assert.ok((await silent()).isErr);
    assert.ok((await silent()).isErr);
    const third = await peers.call(member, heartbeatMethod, HEARTBEAT, 60_000);
    assert.ok(third.isOk);
    assert.equal(opened.length, 2);
  },
);
