/** Leases of singleton roles, one per replica, among three control nodes. */
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
const acquireTimeoutMs = 8_000;
const acquirePollMs = 50;
const requestTimeoutMs = 5_000;

const defineAll = () =>
  defineSeries({
    cpu: 'leases/cpu',
    bytes: 'leases/bytes',
    acquireMs: 'leases/settle',
  });

const noHandlers: PeerHandlers = { onOpen: () => {}, onClose: () => {}, onMessage: () => {}, onCall: async () => null };

/** A control node that grants leases to the others over metered connections. */
interface LeaseNode {
  readonly name: string;
  readonly address: string;
  readonly grant: (request: LeaseRequest) => Promise<LeaseReply | null>;
  readonly close: () => Promise<void>;
}

const openLeaseNode = async (net: Net, at: number): Promise<LeaseNode> => {
  const opened = (await leaseTables.open(temporaryDisk(), machine.clock, logs.silent()))._unsafeUnwrap();
  const address = await freeAddress();
  const hello = sampleData.helloOf('control', at, address);
  const grant = async (request: LeaseRequest): Promise<LeaseReply | null> =>
    (await opened.table.grant(request)) ?? null;
  const handlers: PeerHandlers = { ...noHandlers, onCall: (_connection, _topic, body) => grant(body as LeaseRequest) };
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
    dialed.push(
      (await peerConnections.dial(net, machine.clock, logs.silent(), hello, address, noHandlers))._unsafeUnwrap(),
    );
  return dialed;
};

const leaseManagerOf = (
  nodes: readonly LeaseNode[],
  node: LeaseNode,
  connections: readonly PeerConnection[],
  wanted: readonly string[],
): LeaseManager => {
  const requestAll = async (request: LeaseRequest): Promise<LeaseReply[]> => {
    const remoteReplies = connections.map(
      async (connection) =>
        (await connection.call('leaseRequest', request, requestTimeoutMs)).unwrapOr(null) as LeaseReply | null,
    );
    const replies = await Promise.all([node.grant(request), ...remoteReplies]);
    return replies.filter((reply) => reply !== null);
  };
  const names = nodes.map(({ name }) => name);
  return new LeaseManager(
    machine.clock,
    () => node.name,
    () => names,
    () => wanted,
    requestAll,
    () => {},
    () => 2,
    () => {},
  );
};

const tickAll = (managers: readonly LeaseManager[]): Promise<unknown> => Promise.all(managers.map((one) => one.tick()));

const acquireAll = async (managers: readonly LeaseManager[], wanted: number): Promise<number> => {
  const usage = startMeasurement();
  const heldCount = (): number => managers.reduce((sum, one) => sum + one.status().length, 0);
  while (heldCount() < wanted && usage().wallMs < acquireTimeoutMs) {
    await tickAll(managers);
    await sleep(acquirePollMs);
  }
  return usage().wallMs;
};

const measureReplicas = async (series: ReturnType<typeof defineAll>, replicas: number): Promise<void> => {
  const meter = new Meter();
  const net = metered(machine.net(null), meter);
  const nodes = await Promise.all(range(fleetSize.voters).map((at) => openLeaseNode(net, at)));
  const wanted = sampleData.records(replicas).map((record) => `kv/${record.name}`);
  const dialed: PeerConnection[] = [];
  const managers: LeaseManager[] = [];
  for (const [at, node] of nodes.entries()) {
    const connections = await dialOthers(net, nodes, at);
    dialed.push(...connections);
    managers.push(leaseManagerOf(nodes, node, connections, wanted));
  }
  series.acquireMs.add(replicas, await acquireAll(managers, replicas));
  await repeat(repeats, 1, async (isMeasured) => {
    const usage = startMeasurement(meter);
    await tickAll(managers);
    if (!isMeasured) return;
    const { cpuMs, sentBytes } = usage();
    series.cpu.add(replicas, cpuMs);
    series.bytes.add(replicas, sentBytes);
  });
  for (const connection of dialed) connection.close();
  for (const node of nodes) await node.close();
};

/** Measures by the number of replicas, each of which has a lease. */
export const leasesProbe: Probe = {
  name: 'leases',
  measure: async () => {
    const series = defineAll();
    for (const replicas of replicaCounts) await measureReplicas(series, replicas);
    return measurementsOf(series);
  },
};
