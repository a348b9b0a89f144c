/** Leases of singleton roles, one for each replica, between three control nodes. */
import { LeaseManager } from '@martenworks/cluster-membership';
import type { LeaseRequest, LeaseReply } from '@martenworks/cluster-membership';
import { leaseTables } from '@martenworks/control-plane';
import { logs, machine } from '@martenworks/core-types';
import type { Net } from '@martenworks/core-types';
import { peerConnections } from '@martenworks/peer-transport';
import type { PeerHandlers, PeerConnection } from '@martenworks/peer-transport';
import { fleetSize, replicaCounts } from '../fleetSize.js';
import { sleep, repeat, startMeasurement, range } from '../measuring.js';
import { Meter, freeAddress, metered } from '../meteredNet.js';
import { temporaryDisk } from '../probePorts.js';
import { sampleData } from '../sampleData.js';
import { defineSeries, measurementsOf } from '../series.js';
import type { Probe } from './probe.js';

const repeats = 3;
const settleTimeoutMs = 8_000;
const settlePollMs = 50;
const askTimeoutMs = 5_000;

const defineAll = () =>
  defineSeries({
    cpu: 'leases/cpu',
    bytes: 'leases/bytes',
    settle: 'leases/settle',
  });

const quiet: PeerHandlers = { onOpen: () => {}, onClose: () => {}, onMessage: () => {}, onCall: async () => null };

/** One control node that grants leases to the others over a metered connection. */
interface LeaseNode {
  readonly name: string;
  readonly address: string;
  readonly grant: (ask: LeaseRequest) => Promise<LeaseReply | null>;
  readonly close: () => Promise<void>;
}

const openLeaseNode = async (net: Net, at: number): Promise<LeaseNode> => {
  const opened = (await leaseTables.open(temporaryDisk(), machine.clock, logs.silent()))._unsafeUnwrap();
  const address = await freeAddress();
  const hello = sampleData.helloOf('control', at, address);
  const grant = async (ask: LeaseRequest): Promise<LeaseReply | null> => (await opened.table.grant(ask)) ?? null;
  const handlers: PeerHandlers = { ...quiet, onCall: (_connection, _topic, body) => grant(body as LeaseRequest) };
  const listener = (
    await peerConnections.listen(net, machine.clock, logs.silent(), () => hello, address, handlers)
  )._unsafeUnwrap();
  const close = async (): Promise<void> => {
    await listener.close();
    await opened.close();
  };
  return { name: hello.incarnation, address, grant, close };
};

const dialOthers = async (net: Net, nodes: readonly LeaseNode[], own: number): Promise<PeerConnection[]> => {
  const hello = sampleData.helloOf('control', own, '');
  const others = nodes.filter((_, at) => at !== own);
  const dialed: PeerConnection[] = [];
  for (const { address } of others)
    dialed.push((await peerConnections.dial(net, machine.clock, logs.silent(), hello, address, quiet))._unsafeUnwrap());
  return dialed;
};

const dutiesOf = (
  nodes: readonly LeaseNode[],
  node: LeaseNode,
  connections: readonly PeerConnection[],
  wanted: readonly string[],
): LeaseManager => {
  const askAll = async (ask: LeaseRequest): Promise<LeaseReply[]> => {
    const asked = connections.map(
      async (connection) =>
        (await connection.call('leaseRequest', ask, askTimeoutMs)).unwrapOr(null) as LeaseReply | null,
    );
    const replies = await Promise.all([node.grant(ask), ...asked]);
    return replies.filter((reply) => reply !== null);
  };
  const names = nodes.map(({ name }) => name);
  return new LeaseManager(
    machine.clock,
    () => node.name,
    () => names,
    () => wanted,
    askAll,
    () => {},
    () => 2,
    () => {},
  );
};

const tickAll = (duties: readonly LeaseManager[]): Promise<unknown> => Promise.all(duties.map((one) => one.tick()));

const settle = async (duties: readonly LeaseManager[], wanted: number): Promise<number> => {
  const spent = startMeasurement();
  const heldCount = (): number => duties.reduce((sum, one) => sum + one.status().length, 0);
  while (heldCount() < wanted && spent().wallMs < settleTimeoutMs) {
    await tickAll(duties);
    await sleep(settlePollMs);
  }
  return spent().wallMs;
};

const measureReplicas = async (series: ReturnType<typeof defineAll>, replicas: number): Promise<void> => {
  const meter = new Meter();
  const net = metered(machine.net(null), meter);
  const nodes = await Promise.all(range(fleetSize.voters).map((at) => openLeaseNode(net, at)));
  const wanted = sampleData.records(replicas).map((record) => `kv/${record.name}`);
  const dialed: PeerConnection[] = [];
  const duties: LeaseManager[] = [];
  for (const [at, node] of nodes.entries()) {
    const connections = await dialOthers(net, nodes, at);
    dialed.push(...connections);
    duties.push(dutiesOf(nodes, node, connections, wanted));
  }
  series.settle.add(replicas, await settle(duties, replicas));
  await repeat(repeats, 1, async (isMeasured) => {
    const spent = startMeasurement(meter);
    await tickAll(duties);
    if (!isMeasured) return;
    const { cpuMs, sentBytes } = spent();
    series.cpu.add(replicas, cpuMs);
    series.bytes.add(replicas, sentBytes);
  });
  for (const connection of dialed) connection.close();
  for (const node of nodes) await node.close();
};

/** Measures by the replicas, each of which has a lease. */
export const leasesProbe: Probe = {
  name: 'leases',
  measure: async () => {
    const series = defineAll();
    for (const replicas of replicaCounts) await measureReplicas(series, replicas);
    return measurementsOf(series);
  },
};
