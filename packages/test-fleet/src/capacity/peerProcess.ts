/** The child process that emulates the peers of a measured node: connections that acknowledge and count messages. */
import { logs, machine } from '@martenworks/core-types';
import type { KvCacheEvent, Loads, Pong, ReplicaRecord, EdgeStateMessage } from '@martenworks/core-types';
import { StateView, ReplicaTracker } from '@martenworks/gateway';
import { peerConnections } from '@martenworks/peer-transport';
import type { PeerHandlers, PeerConnection } from '@martenworks/peer-transport';
import type { PrefixIndexSnapshot } from '@martenworks/prefix-index';
import { cpuUs, startMeasurement, until, range } from './measuring.js';
import { Meter, metered } from './meteredNet.js';
import type { PeerCommand, PeerReplies, PingCost, ReportedLoad } from './peerCommands.js';
import { poolCount } from './fleetSize.js';
import { sampleData } from './sampleData.js';

const ownAddress = '127.0.0.1:1';
const timeoutMs = 30_000;
const noticeTimeoutMs = 20_000;
const maxConcurrentDials = 40;
const maxConcurrentPings = 20;
const tokensPerRequest = 512;

const meter = new Meter();
const net = metered(machine.net(null), meter);
const stateView = new StateView(machine.clock, () => {});
const replicaTracker = new ReplicaTracker(machine.clock);
const connections: PeerConnection[] = [];
const counters = { loadMessages: 0, closedConnections: 0 };
let appliesUpdates = false;

const applyUpdate = (topic: string, body: unknown): void => {
  if (topic === 'replicas') stateView.applyReplicas(body as ReplicaRecord[]);
  else if (topic === 'indexSnapshot') stateView.applyIndexSnapshot(body as PrefixIndexSnapshot);
  else if (topic === 'kv') stateView.applyKvEvents(body as KvCacheEvent[]);
};

const handlers: PeerHandlers = {
  onOpen: () => {},
  onClose: () => {
    counters.closedConnections += 1;
  },
  onCall: async () => null,
  onMessage: (connection, topic, body) => {
    if (topic === 'change' || topic === 'checkpoint') connection.send('ack', (body as { logIndex: number }).logIndex);
    else if (topic === 'state') {
      const { logIndex, configVersion } = body as EdgeStateMessage;
      connection.send('ack', { logIndex, configVersion });
    } else if (topic === 'loads') counters.loadMessages += 1;
    else if (appliesUpdates) applyUpdate(topic, body);
  },
};

const dial = async (address: string, at: number): Promise<void> => {
  const hello = sampleData.helloOf('edge', at, ownAddress);
  const dialed = await peerConnections.dial(net, machine.clock, logs.silent(), hello, address, handlers);
  if (dialed.isErr()) throw new Error(`peer ${at} cannot reach ${address}: ${dialed.error.code}`);
  connections.push(dialed.value);
};

const reportOf = (
  at: number,
  { running, replicas }: ReportedLoad,
): { replicas: Loads; pools: Record<string, [number, number]> } => ({
  replicas: Object.fromEntries(
    range(running).map((one) => [
      `replica-${String((at * 131 + one * 37) % replicas).padStart(4, '0')}`,
      [1, tokensPerRequest],
    ]),
  ),
  pools: Object.fromEntries(range(poolCount).map((pool) => [`model-${pool}`, [0, Math.round(running / poolCount)]])),
});

const runConcurrently = async (
  count: number,
  concurrency: number,
  work: (at: number) => Promise<unknown>,
): Promise<void> => {
  let next = 0;
  await Promise.all(
    range(Math.min(concurrency, count)).map(async () => {
      while (next < count) await work(next++);
    }),
  );
};

const ping = async (count: number, bodies: readonly unknown[], onPong: (pong: unknown) => void): Promise<PingCost> => {
  const usage = startMeasurement(meter);
  await runConcurrently(count, maxConcurrentPings, async (at) => {
    const index = at % connections.length;
    const pong = await (connections[index] as PeerConnection).call('ping', bodies[index], timeoutMs);
    if (pong.isOk()) onPong(pong.value);
  });
  const { cpuUs: us, receivedBytes, sentBytes } = usage();
  return { cpuUs: us / count, receivedBytes: receivedBytes / count, sentBytes: sentBytes / count };
};

const pingWithLoad = (count: number, load: ReportedLoad): Promise<PingCost> =>
  ping(
    count,
    connections.map((_, at) => reportOf(at, load)),
    (pong) => replicaTracker.applyOtherLoads((pong as Pong).loads),
  );

const sendHeavyPrefill = async (load: ReportedLoad): Promise<PeerReplies['heavyPrefill']> => {
  const [loadsBefore, receivedBefore] = [counters.loadMessages, meter.received];
  connections[0]?.send('longPrompts', reportOf(0, load));
  await until(() => counters.loadMessages - loadsBefore >= connections.length - 1, noticeTimeoutMs);
  return { receivedBytes: meter.received - receivedBefore };
};

const claim = async (at: number, firstKey: number): Promise<void> => {
  const connection = connections[at % connections.length] as PeerConnection;
  const key = `tenant-0001/${firstKey + at}`;
  const id = `id-${key}`;
  const claimant = { id, gateway: 'incarnation-00001', address: '10.0.0.1:7100', digest: key.padStart(32, '0') };
  const slot = { key, turn: 0, ballot: [1, id] };
  await connection.call('claimPrepare', slot, timeoutMs);
  await connection.call('claimAccept', { ...slot, claimant }, timeoutMs);
};

const closeAll = (): void => {
  for (const connection of connections.splice(0)) connection.close();
  Object.assign(counters, { loadMessages: 0, closedConnections: 0 });
};

const run = async (command: PeerCommand): Promise<PeerReplies[PeerCommand['verb']]> => {
  switch (command.verb) {
    case 'dial':
      appliesUpdates = command.appliesUpdates === true;
      await runConcurrently(command.count, maxConcurrentDials, (at) => dial(command.address, command.firstPeer + at));
      return {};
    case 'send':
      for (const connection of connections) connection.send(command.topic, command.body ?? null);
      return {};
    case 'ping':
      return ping(
        command.count,
        connections.map(() => command.body),
        () => {},
      );
    case 'pingWithLoad':
      return pingWithLoad(command.count, command.load);
    case 'heavyPrefill':
      return sendHeavyPrefill(command.load);
    case 'claim':
      await runConcurrently(command.count, command.concurrency, (at) => claim(at, command.firstKey));
      return {};
    case 'call':
      await runConcurrently(command.count, 1, () =>
        (connections[0] as PeerConnection).call(command.topic, command.body, timeoutMs),
      );
      return {};
    case 'readCounters':
      return { ...counters, receivedBytes: meter.received, sentBytes: meter.sent, cpuUs: cpuUs() };
    case 'closeAll':
      closeAll();
      return {};
  }
};

process.on('message', (command: PeerCommand) => void run(command).then((reply) => process.send?.(reply)));
process.on('disconnect', () => process.exit(0));
