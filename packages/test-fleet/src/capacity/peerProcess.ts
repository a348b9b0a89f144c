/** The child process that plays the peers of a measured node: many connections that answer and count, and do no more. */
import { logs, machine } from '@martenworks/core-types';
import type { KvCacheEvent, Loads, Pong, ReplicaRecord, EdgeStateMessage } from '@martenworks/core-types';
import { StateView, ReplicaTracker } from '@martenworks/gateway';
import { peerConnections } from '@martenworks/peer-transport';
import type { PeerHandlers, PeerConnection } from '@martenworks/peer-transport';
import type { PrefixIndexSnapshot } from '@martenworks/prefix-index';
import { cpuUs, startWatch, until, upTo } from './measuring.js';
import { Meter, metered } from './meteredNet.js';
import type { PeerCommand, PeerReplies, PingCost, ReportedLoad } from './peerCommands.js';
import { poolCount } from './fleetSize.js';
import { sampleData } from './sampleData.js';

const ownAddress = '127.0.0.1:1';
const timeoutMs = 30_000;
const noticeTimeoutMs = 20_000;
const dialsAtOnce = 40;
const pingsAtOnce = 20;
const tokensARequest = 512;

const meter = new Meter();
const net = metered(machine.net(null), meter);
const routingTable = new StateView(machine.clock, () => {});
const replicaTracker = new ReplicaTracker(machine.clock);
const connections: PeerConnection[] = [];
const counted = { loads: 0, left: 0 };
let isReal = false;

const takeAsGateway = (topic: string, body: unknown): void => {
  if (topic === 'replicas') routingTable.applyReplicas(body as ReplicaRecord[]);
  else if (topic === 'indexSnapshot') routingTable.applyIndexSnapshot(body as PrefixIndexSnapshot);
  else if (topic === 'kv') routingTable.applyKvEvents(body as KvCacheEvent[]);
};

const handlers: PeerHandlers = {
  onOpen: () => {},
  onClose: () => {
    counted.left += 1;
  },
  onCall: async () => null,
  onMessage: (connection, topic, body) => {
    if (topic === 'change' || topic === 'checkpoint') connection.send('ack', (body as { logIndex: number }).logIndex);
    else if (topic === 'state') {
      const { logIndex, configVersion } = body as EdgeStateMessage;
      connection.send('ack', { logIndex, configVersion });
    } else if (topic === 'loads') counted.loads += 1;
    else if (isReal) takeAsGateway(topic, body);
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
    upTo(running).map((one) => [
      `replica-${String((at * 131 + one * 37) % replicas).padStart(4, '0')}`,
      [1, tokensARequest],
    ]),
  ),
  pools: Object.fromEntries(upTo(poolCount).map((pool) => [`model-${pool}`, [0, Math.round(running / poolCount)]])),
});

const atOnce = async (count: number, width: number, work: (at: number) => Promise<unknown>): Promise<void> => {
  let next = 0;
  await Promise.all(
    upTo(Math.min(width, count)).map(async () => {
      while (next < count) await work(next++);
    }),
  );
};

const ping = async (count: number, bodies: readonly unknown[], onPong: (pong: unknown) => void): Promise<PingCost> => {
  const spent = startWatch(meter);
  await atOnce(count, pingsAtOnce, async (at) => {
    const index = at % connections.length;
    const pong = await (connections[index] as PeerConnection).call('ping', bodies[index], timeoutMs);
    if (pong.isOk()) onPong(pong.value);
  });
  const { cpuUs: us, gotBytes, sentBytes } = spent();
  return { us: us / count, got: gotBytes / count, sent: sentBytes / count };
};

const pingWithLoad = (count: number, load: ReportedLoad): Promise<PingCost> =>
  ping(
    count,
    connections.map((_, at) => reportOf(at, load)),
    (pong) => replicaTracker.applyOtherLoads((pong as Pong).loads),
  );

const sendHeavyPrefill = async (load: ReportedLoad): Promise<PeerReplies['heavyPrefill']> => {
  const [loads, got] = [counted.loads, meter.got];
  connections[0]?.send('longPrompts', reportOf(0, load));
  await until(() => counted.loads - loads >= connections.length - 1, noticeTimeoutMs);
  return { got: meter.got - got };
};

const claim = async (at: number, from: number): Promise<void> => {
  const connection = connections[at % connections.length] as PeerConnection;
  const key = `tenant-0001/${from + at}`;
  const id = `id-${key}`;
  const claimant = { id, gateway: 'incarnation-00001', address: '10.0.0.1:7100', digest: key.padStart(32, '0') };
  const slot = { key, turn: 0, ballot: [1, id] };
  await connection.call('claimPrepare', slot, timeoutMs);
  await connection.call('claimAccept', { ...slot, claimant }, timeoutMs);
};

const hangUp = (): void => {
  for (const connection of connections.splice(0)) connection.close();
  Object.assign(counted, { loads: 0, left: 0 });
};

const run = async (command: PeerCommand): Promise<PeerReplies[PeerCommand['verb']]> => {
  switch (command.verb) {
    case 'dial':
      isReal = command.isReal === true;
      await atOnce(command.count, dialsAtOnce, (at) => dial(command.address, command.from + at));
      return {};
    case 'tell':
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
      await atOnce(command.count, command.width, (at) => claim(at, command.from));
      return {};
    case 'ask':
      await atOnce(command.count, 1, () =>
        (connections[0] as PeerConnection).call(command.topic, command.body, timeoutMs),
      );
      return {};
    case 'readCounters':
      return { ...counted, got: meter.got, sent: meter.sent, us: cpuUs() };
    case 'hangUp':
      hangUp();
      return {};
  }
};

process.on('message', (command: PeerCommand) => void run(command).then((reply) => process.send?.(reply)));
process.on('disconnect', () => process.exit(0));
