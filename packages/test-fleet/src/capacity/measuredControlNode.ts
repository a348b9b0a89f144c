/** A control node that the probes measure: its state and publisher, listening on a loopback address. */
import type { Member, ReplicaRecord } from '@martenworks/core-types';
import { GatewayPublisher, acceptors } from '@martenworks/control-plane';
import type { Acceptor } from '@martenworks/control-plane';
import { peerConnections } from '@martenworks/peer-transport';
import type { PeerHandlers } from '@martenworks/peer-transport';
import type { PrefixIndex } from '@martenworks/prefix-index';
import { Meter, freeAddress } from './meteredNet.js';
import type { PeerProcess } from './peerProcessClient.js';
import { probePorts } from './probePorts.js';
import { sampleData } from './sampleData.js';

/** The parts of the node that probes use. */
export interface MeasuredControlNode {
  readonly address: string;
  readonly meter: Meter;
  readonly acceptor: Acceptor;
  readonly publisher: GatewayPublisher;
  readonly close: () => Promise<void>;
}

/** The contents of the node, and handlers that replace its own. */
export interface ControlNodeOptions {
  readonly tenants?: number;
  readonly records?: readonly ReplicaRecord[];
  readonly handlers?: Partial<PeerHandlers>;
  readonly prefixCaches?: () => ReturnType<PrefixIndex['snapshot']>;
}

const defaultTenantCount = 10;

const memberOf = (at: number): Member => ({
  name: `postmaster-${at}`,
  address: `127.0.0.${at}:1`,
  incarnation: `incarnation-${String(at).padStart(5, '0')}`,
});

/** The three members of the sample states. */
export const sampleMembers = [1, 2, 3].map(memberOf);

const handlersOf = (acceptor: Acceptor, publisher: GatewayPublisher): PeerHandlers => ({
  onOpen: () => {},
  onClose: publisher.unsubscribe,
  onMessage: (connection, topic, body) => {
    if (topic === 'subscribe')
      publisher.subscribe(connection, body === null ? (acceptor.committedState()?.logIndex ?? -1) : (body as number));
    else if (topic === 'ack') publisher.handleAck(connection, body as number);
    else if (topic === 'longPrompts')
      publisher.handleLongPrompts(connection, body as Parameters<GatewayPublisher['handleLongPrompts']>[1]);
  },
  onCall: async (connection, topic, body) =>
    topic === 'ping' ? publisher.handlePing(connection, body as Parameters<GatewayPublisher['handlePing']>[1]) : null,
});

/** Opens a node, which the caller must close. */
export const openControlNode = async (options: ControlNodeOptions = {}): Promise<MeasuredControlNode> => {
  const { tenants = defaultTenantCount, records = [], prefixCaches = () => [] } = options;
  const meter = new Meter();
  const ports = probePorts(meter);
  const acceptor = (await acceptors.open(ports.disk, ports.clock, ports.random, ports.log))._unsafeUnwrap();
  await acceptor.adopt(sampleData.stateOf(tenants, 0, sampleMembers));
  const stoppedClock = { ...ports.clock, now: () => 0 };
  const publisher = new GatewayPublisher(acceptor, stoppedClock, () => records, prefixCaches);
  const address = await freeAddress();
  const hello = sampleData.helloOf('control', 1, address);
  const handlers = { ...handlersOf(acceptor, publisher), ...options.handlers };
  const listener = (
    await peerConnections.listen(ports.net, ports.clock, ports.log, () => hello, address, handlers)
  )._unsafeUnwrap();
  const close = async (): Promise<void> => {
    await listener.close();
    await acceptor.close();
  };
  return { address, meter, acceptor, publisher, close };
};

/** Runs `work` with a node and `count` peers connected to it, then closes both. */
export const withConnectedNode = async <T>(
  peers: PeerProcess,
  peerOptions: { readonly count: number; readonly firstPeer?: number; readonly appliesUpdates?: boolean },
  options: ControlNodeOptions,
  work: (node: MeasuredControlNode) => Promise<T>,
): Promise<T> => {
  const node = await openControlNode(options);
  try {
    await peers.run({ verb: 'dial', address: node.address, firstPeer: 0, ...peerOptions });
    return await work(node);
  } finally {
    await peers.run({ verb: 'closeAll' });
    await node.close();
  }
};
