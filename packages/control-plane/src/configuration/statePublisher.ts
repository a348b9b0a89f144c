/** Sends edges what is in force: all of it to those that take their content from this node, the bare log index to the others. */
import type {
  CommittedState,
  Clock,
  EdgePing,
  EdgePong,
  StatePosition,
  EdgeStateMessage,
  Subscription,
} from '@martenworks/core-types';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { Acceptor } from '../consensus/acceptor.js';
import type { NamedWeights } from './namedWeights.js';
import { RoutingTableHistory } from './routingTableHistory.js';

const silentMs = 4_000;
const resendMs = 1_000;

/** A state that was sent to an edge and that it has not confirmed. */
interface Transfer {
  readonly logIndex: number;
  readonly sentAt: number;
}

/** A subscribed edge; `logIndex` and `configVersion` are what it is known to have. */
interface Subscriber {
  logIndex: number;
  configVersion: number;
  underWay: Transfer | null;
  announced: number;
  heardAt: number;
  wantsContent: boolean;
}

/** One subscribed edge: the last log index it acknowledged, and whether it takes its content from this node. */
export interface EdgeStatus {
  readonly edge: string;
  readonly zone: string;
  readonly acked: number;
  readonly isContent: boolean;
  readonly heardMsAgo: number;
}

/**
 * The edges subscribed to this node. At most one state is on the way to an edge; a newer one follows its
 * acknowledgement.
 */
export class StatePublisher {
  private readonly subscribers = new Map<PeerConnection, Subscriber>();
  private readonly history = new RoutingTableHistory();

  constructor(
    private readonly acceptor: Acceptor,
    private readonly clock: Clock,
    private readonly listAgeMs: () => number | null,
    private readonly greet: (connection: PeerConnection) => void,
    private readonly namedWeights: NamedWeights,
  ) {
    this.history.note(acceptor.agreed()?.routing ?? null);
    this.noteNamed();
    acceptor.watch(this.updateAll);
  }

  private readonly noteNamed = (): void => this.namedWeights.note(this.acceptor.agreed()?.targetWeights ?? {});

  private readonly message = (state: CommittedState, held: StatePosition): EdgeStateMessage => {
    const configVersion = state.routing?.configVersion ?? 0;
    this.history.note(state.routing);
    return {
      logIndex: state.logIndex,
      configVersion,
      packedTable: this.history.messageFrom(held.configVersion),
      targetWeights: state.targetWeights,
      weightsAges: this.namedWeights.ages(),
      members: state.members,
    };
  };

  /**
   * Begins to send to an edge that has the given position, or takes in that an edge wants its content from here or no
   * longer does.
   */
  readonly subscribe = (connection: PeerConnection, { logIndex, configVersion, wantsContent }: Subscription): void => {
    const before = this.subscribers.get(connection);
    const wasContent = before?.wantsContent === true;
    this.subscribers.set(connection, {
      logIndex,
      configVersion,
      underWay: connection.isSending('state') ? (before?.underWay ?? null) : null,
      announced: before?.announced ?? -1,
      heardAt: this.clock.now(),
      wantsContent,
    });
    this.update(connection);
    if (wantsContent && !wasContent) this.greet(connection);
  };

  /** Forgets an edge whose connection has closed. */
  readonly drop = (connection: PeerConnection): void => void this.subscribers.delete(connection);

  private readonly updateAll = (): void => {
    this.history.note(this.acceptor.agreed()?.routing ?? null);
    this.noteNamed();
    for (const connection of this.subscribers.keys()) this.update(connection);
  };

  /** Announces the log index in force and, to an edge that takes its content from here, sends the state unless an older one is under way: once that is confirmed, the newest follows. */
  private readonly update = (connection: PeerConnection): void => {
    const subscriber = this.subscribers.get(connection);
    const state = this.acceptor.agreed();
    if (subscriber === undefined || state === null || state.logIndex <= subscriber.logIndex) return;
    if (state.logIndex > subscriber.announced) connection.send('stateAnnounced', state.logIndex);
    subscriber.announced = state.logIndex;
    if (!subscriber.wantsContent || subscriber.underWay !== null) return;
    subscriber.underWay = { logIndex: state.logIndex, sentAt: this.clock.now() };
    connection.send('state', this.message(state, subscriber));
  };

  /** What is in force for an edge that asks: null where nothing was agreed. */
  readonly stateFor = (held: StatePosition): EdgeStateMessage | null => {
    const state = this.acceptor.agreed();
    return state === null ? null : this.message(state, held);
  };

  /** An edge has applied the state of the given position; a newer one is sent if there is one. */
  readonly acked = (connection: PeerConnection, { logIndex, configVersion }: StatePosition): void => {
    const subscriber = this.subscribers.get(connection);
    if (subscriber === undefined) return;
    subscriber.heardAt = this.clock.now();
    if (logIndex >= subscriber.logIndex) Object.assign(subscriber, { logIndex, configVersion });
    if (this.isOver(connection, subscriber)) subscriber.underWay = null;
    this.update(connection);
  };

  private readonly isOver = (connection: PeerConnection, { underWay, logIndex }: Subscriber): boolean => {
    if (underWay === null || logIndex >= underWay.logIndex) return true;
    return this.clock.now() - underWay.sentAt > resendMs && !connection.isSending('state');
  };

  /** The reply to an edge's ping, which counts as an acknowledgement too. Times in milliseconds. */
  readonly pong = (connection: PeerConnection, ping: EdgePing, majorityHeardMs: number | null): EdgePong => {
    this.acked(connection, ping);
    return {
      logIndex: this.acceptor.agreed()?.logIndex ?? -1,
      edgeCount: this.edgeCount(),
      hasMajority: majorityHeardMs !== null,
      majorityHeardMs,
      listAgeMs: this.listAgeMs(),
    };
  };

  /** Edges heard from in the last 4 s; an edge divides shared limits by it. */
  readonly edgeCount = (): number => {
    const now = this.clock.now();
    return [...this.subscribers.values()].filter(({ heardAt }) => now - heardAt <= silentMs).length;
  };

  /** Sends a message to all subscribed edges. */
  readonly tellAll = (topic: string, body: unknown): void => {
    for (const connection of this.subscribers.keys()) connection.send(topic, body);
  };

  /** Sends a message to the edges that take their content from this node. */
  readonly tellContent = (topic: string, body: unknown): void => {
    for (const [connection, { wantsContent }] of this.subscribers) if (wantsContent) connection.send(topic, body);
  };

  /** Sends a message to the edges that take their content from this node, other than its sender. */
  readonly tellOthers = (sender: PeerConnection, topic: string, body: unknown): void => {
    for (const [connection, { wantsContent }] of this.subscribers)
      if (wantsContent && connection !== sender) connection.send(topic, body);
  };

  /** Closes the connections of edges that were not heard for 4 s; they dial again. */
  readonly dropSilent = (): void => {
    const now = this.clock.now();
    for (const [connection, { heardAt }] of [...this.subscribers]) if (now - heardAt > silentMs) connection.close();
  };

  /** The subscribed edges, for the status page. */
  readonly status = (): EdgeStatus[] => {
    const now = this.clock.now();
    return [...this.subscribers].map(([connection, one]) => ({
      edge: connection.peer?.name ?? '',
      zone: connection.peer?.zone ?? '',
      acked: one.logIndex,
      isContent: one.wantsContent,
      heardMsAgo: Math.round(now - one.heardAt),
    }));
  };
}
