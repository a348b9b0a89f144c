/** A simulated control node whose state is set by the test, and which publishes it like the real one. */
import { logs } from '@martenworks/core-types';
import type {
  EdgePong,
  Listener,
  Member,
  StatePosition,
  EdgeStateMessage,
  Subscription,
  RoutingTable,
} from '@martenworks/core-types';
import { hellos, peerConnections } from '@martenworks/peer-transport';
import type { Hello, PeerConnection } from '@martenworks/peer-transport';
import type { SimWorld } from '@martenworks/test-fleet';
import { packedRoutingTables } from '@martenworks/route-table';

const peerPort = 7_000;

const limits = { headerBytes: 16_384, bodyBytes: 65_536, headerMs: 3_000, idleMs: 15_000 };

/** The routing table of a log index: one pool, named after the index. */
export const routingTableOf = (logIndex: number): RoutingTable => ({
  routes: [],
  pools: [{ name: `pool of ${logIndex}`, connectionLimit: null, engine: null }],
  stores: [],
  customers: null,
  limits,
});

export const memberOf = (host: string): Member => ({
  name: `node ${host}`,
  address: `${host}:${peerPort}`,
  incarnation: `incarnation of ${host}`,
});

/** Whether a node sends its state only to edges that reported an older one, as the real node does, or to all. */
export type PublishPolicy = 'newer states only' | 'any state';

interface Subscriber {
  reportedLogIndex: number;
  wantsContent: boolean;
}

export class ControlNodeStub {
  private readonly subscribers = new Map<PeerConnection, Subscriber>();
  private readonly connections = new Set<PeerConnection>();
  private listener: Listener | null = null;
  private starts = 0;
  /** States sent since the last start, whether requested or not. */
  statesSent = 0;
  /** States that reached an edge that already had a newer one, according to its acknowledgements. */
  staleArrivals = 0;

  constructor(
    private readonly world: SimWorld,
    readonly host: string,
    private readonly zone: string,
    private readonly members: readonly Member[],
    public logIndex: number,
    private readonly publishing: PublishPolicy = 'newer states only',
  ) {}

  private readonly hello = (): Hello => {
    const { name, address } = memberOf(this.host);
    const node = { name, peerAddress: address, http: `${this.host}:8081`, operators: null, zone: this.zone };
    return hellos.of('control', node, `start ${this.starts} of ${this.host}`);
  };

  readonly start = async (): Promise<void> => {
    this.starts += 1;
    this.statesSent = 0;
    const { net, clock } = this.world.machine(this.host).ports();
    const listening = await peerConnections.listen(net, clock, logs.silent(), this.hello, memberOf(this.host).address, {
      onOpen: (connection) => void this.connections.add(connection),
      onClose: this.forget,
      onMessage: this.receive,
      onCall: async (_, topic) => this.handleCall(topic),
    });
    this.listener = listening._unsafeUnwrap();
  };

  readonly stop = async (): Promise<void> => {
    await this.listener?.close();
    this.listener = null;
    for (const connection of [...this.connections]) connection.close();
  };

  /** Sets the committed log index and publishes the state immediately. */
  readonly advanceTo = (logIndex: number): void => {
    this.logIndex = logIndex;
    for (const connection of this.subscribers.keys()) this.publish(connection);
  };

  /** Whether an edge uses this node as its source. */
  readonly isSource = (): boolean => [...this.subscribers.values()].some(({ wantsContent }) => wantsContent);

  private readonly forget = (connection: PeerConnection): void => {
    this.connections.delete(connection);
    this.subscribers.delete(connection);
  };

  private readonly receive = (connection: PeerConnection, topic: string, body: unknown): void => {
    if (topic === 'subscribe') this.subscribe(connection, body as Subscription);
    if (topic === 'ack') this.handleAck(connection, body as StatePosition);
  };

  private readonly handleAck = (connection: PeerConnection, { logIndex }: StatePosition): void => {
    const subscriber = this.subscribers.get(connection);
    if (subscriber !== undefined) subscriber.reportedLogIndex = Math.max(subscriber.reportedLogIndex, logIndex);
    if (logIndex > this.logIndex) this.staleArrivals += 1;
  };

  private readonly subscribe = (connection: PeerConnection, { logIndex, wantsContent }: Subscription): void => {
    this.subscribers.set(connection, { reportedLogIndex: logIndex, wantsContent });
    this.publish(connection);
  };

  private readonly publish = (connection: PeerConnection): void => {
    const subscriber = this.subscribers.get(connection);
    if (subscriber === undefined) return;
    if (this.publishing === 'newer states only' && this.logIndex <= subscriber.reportedLogIndex) return;
    connection.send('stateAnnounced', this.logIndex);
    if (!subscriber.wantsContent) return;
    this.statesSent += 1;
    connection.send('state', this.message());
  };

  private readonly message = (): EdgeStateMessage => ({
    logIndex: this.logIndex,
    configVersion: this.logIndex,
    packedTable: packedRoutingTables.packTable(routingTableOf(this.logIndex)),
    targetWeights: {},
    weightsAges: {},
    members: this.members,
  });

  private readonly stateReply = (): EdgeStateMessage => {
    this.statesSent += 1;
    return this.message();
  };

  private readonly pong = (): EdgePong => ({
    logIndex: this.logIndex,
    edgeCount: 1,
    hasMajority: true,
    majorityHeardMs: 0,
    listAgeMs: 0,
  });

  private readonly handleCall = (topic: string): unknown => {
    if (topic === 'state') return this.stateReply();
    if (topic === 'ping') return this.pong();
    return topic === 'memberList' ? [{ hello: this.hello(), ageMs: 0 }] : null;
  };
}
