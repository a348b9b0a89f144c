import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { logs, machine } from '@martenworks/core-types';
import type { Ports } from '@martenworks/core-types';
import { gateways } from '@martenworks/gateway';
import type { Gateway } from '@martenworks/gateway';
import { hellos, peerConnections } from '@martenworks/peer-transport';
import type { PeerConnection } from '@martenworks/peer-transport';
import { gatewaySettings } from '@martenworks/settings';
import type { GatewaySettings } from '@martenworks/settings';
import { httpClients } from '@martenworks/upstream';

const host = '127.0.0.1';
const replyTimeoutMs = 5_000;

const ports: Ports = {
  clock: machine.clock,
  random: machine.random,
  net: machine.net(host),
  httpServer: { open: async () => Promise.reject(new Error('no HTTP address is opened here')) },
  httpClient: httpClients.real(host),
  disk: machine.noDisk(),
  log: logs.silent(),
};

const freePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, host, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });

const settingsAt = (name: string, port: number): GatewaySettings =>
  gatewaySettings
    .check(
      'gateway',
      {
        name,
        zone: 'a',
        peerAddress: `${host}:${port}`,
        http: `${host}:1`,
        seeds: [`${host}:1`, `${host}:2`, `${host}:3`],
      },
      {},
    )
    ._unsafeUnwrap();

/** By topic: bodies that lack fields that a gateway reads. */
const malformedMessages: Readonly<Record<string, readonly unknown[]>> = {
  heartbeat: [7, {}],
  change: [
    { logIndex: 0 },
    { logIndex: '0', change: { id: 'c', body: { kind: 'revoke' } } },
    { logIndex: 0, change: {} },
  ],
  checkpoint: [
    { logIndex: 4 },
    { logIndex: 4, config: null, keys: {}, members: [] },
    { logIndex: 4, config: { tiers: {}, pools: {}, lanes: [], tenants: {} }, keys: {}, members: [] },
    { logIndex: 4, config: { tiers: {}, pools: {}, lanes: {}, tenants: {} }, keys: {}, members: [{ name: 'x' }] },
  ],
  replicas: [{}, [null], [{ name: 'replica-1' }]],
  loads: [[], { 'replica-1': 3 }, { 'replica-1': [1, 'many'] }],
  indexSnapshot: [{ replica: 'replica-1', incarnation: 1, seq: 1, scopes: [''], blocks: null }],
  kv: [{}, [null], [{ replica: 'replica-1', incarnation: 1 }]],
};

describe('malformed messages from another node', () => {
  let gateway: Gateway;
  let connection: PeerConnection;

  beforeEach(async () => {
    const settings = settingsAt('gateway-1', await freePort());
    gateway = (await gateways.start(settings, ports))._unsafeUnwrap();
    const hello = hellos.of('edge', settingsAt('gateway-2', 1), 'other-incarnation');
    const dialed = await peerConnections.dial(ports.net, ports.clock, ports.log, hello, settings.peerAddress, {
      onMessage: () => {},
      onCall: async () => null,
      onOpen: () => {},
      onClose: () => {},
    });
    connection = dialed._unsafeUnwrap();
  });

  afterEach(async () => {
    connection.close();
    await gateway.stop();
  });

  const reply = async (topic: string, body: unknown): Promise<unknown> =>
    (await connection.call(topic, body, replyTimeoutMs))._unsafeUnwrap();

  for (const [topic, bodies] of Object.entries(malformedMessages))
    it(`given malformed bodies of ${topic}, when a gateway receives them, then it ignores them and still replies on the same connection`, async () => {
      for (const body of [null, true, ...bodies]) connection.send(topic, body);
      expect(await reply('keepalive', null)).to.equal(true);
      expect(gateway.stateView.logIndex()).to.equal(-1);
      expect(gateway.stateView.records()).to.deep.equal([]);
      expect(gateway.replicaTracker.all()).to.deep.equal([]);
    });

  it('given calls with malformed bodies, when a gateway receives them, then it replies null and still handles valid ones', async () => {
    for (const body of [null, 3, {}]) expect(await reply('claimState', body)).to.equal(null);
    for (const body of [null, {}, [{ hello: null, ageMs: 1 }], [{ ageMs: 1 }]])
      expect(await reply('memberList', body)).to.equal(null);
    expect(await reply('claimState', 'unknown claimant')).to.deep.equal({ kind: 'unknown' });
    expect(await reply('memberList', [])).to.be.an('array');
  });

  it('given a valid loads message, when a gateway receives it, then it applies the loads', async () => {
    connection.send('loads', { 'replica-1': [2, 30] });
    expect(await reply('keepalive', null)).to.equal(true);
    expect(gateway.replicaTracker.all()).to.deep.equal([
      { replica: 'replica-1', running: 0, others: 2, isSuspect: false },
    ]);
  });
});
