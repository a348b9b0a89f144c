/** Sends the committed state to edges that use this node as their content source, and only its log index to others. */
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
import type { TargetWeightsAges } from './targetWeightsAges.js';
import { RoutingTableHistory } from './routingTableHistory.js';

const idleTimeoutMs = 4_000;
const resendTimeoutMs = 1_000;

/** A state that was sent to an edge and is not acknowledged yet. */
interface PendingTransfer {
  readonly logIndex: number;
  readonly sentAt: number;
}

/** A subscribed edge; `logIndex` and `configVersion` are the last ones that it acknowledged. */
interface Subscriber {
  logIndex: number;
  configVersion: number;
  inFlight: PendingTransfer | null;
  announcedLogIndex: number;
  lastReceivedAt: number;
  wantsContent: boolean;
}

/** A subscribed edge: the last log index that it acknowledged, and whether this node is its content source. */
export interface EdgeStatus {
  readonly edge: string;
  readonly zone: string;
  readonly acked: number;
  readonly isContent: boolean;
  readonly heardMsAgo: number;
}

/**
 * Publishes to the edges subscribed to this node. At most one state is in flight to an edge; the newest one follows
 * when it is acknowledged.
 */
export class StatePublisher {
  private readonly subscribers = new Map<PeerConnection, Subscriber>();
  private readonly history = new RoutingTableHistory();

  constructor(
    private readonly acceptor: Acceptor,
    private readonly clock: Clock,
    private readonly listAgeMs: () => number | null,
    private readonly sendInitialContent: (connection: PeerConnection) => void,
    private readonly targetWeightsAges: TargetWeightsAges,
  ) {
    this.history.record(acceptor.committedState()?.routing ?? null);
    this.recordTargetWeights();
    acceptor.watch(this.updateAll);
  }

  private readonly recordTargetWeights = (): void =>
    this.targetWeightsAges.recordTargets(this.acceptor.committedState()?.targetWeights ?? {});

  private readonly message = (state: CommittedState, current: StatePosition): EdgeStateMessage => {
    const configVersion = state.routing?.configVersion ?? 0;
    this.history.record(state.routing);
    return {
      logIndex: state.logIndex,
      configVersion,
      packedTable: this.history.messageFrom(current.configVersion),
      targetWeights: state.targetWeights,
      weightsAges: this.targetWeightsAges.ages(),
      members: state.members,
    };
  };

  /**
   * Adds an edge that has the given state position, or updates whether a subscribed edge uses this node as its content
   * source.
   */
  readonly subscribe = (connection: PeerConnection, { logIndex, configVersion, wantsContent }: Subscription): void => {
    const previous = this.subscribers.get(connection);
    const wantedContent = previous?.wantsContent === true;
    this.subscribers.set(connection, {
      logIndex,
      configVersion,
      inFlight: connection.isSending('state') ? (previous?.inFlight ?? null) : null,
      announcedLogIndex: previous?.announcedLogIndex ?? -1,
      lastReceivedAt: this.clock.now(),
      wantsContent,
    });
    this.update(connection);
    if (wantsContent && !wantedContent) this.sendInitialContent(connection);
  };

  /** Removes an edge whose connection has closed. */
  readonly unsubscribe = (connection: PeerConnection): void => void this.subscribers.delete(connection);

  private readonly updateAll = (): void => {
    this.history.record(this.acceptor.committedState()?.routing ?? null);
    this.recordTargetWeights();
    for (const connection of this.subscribers.keys()) this.update(connection);
  };

  /**
   * Announces the current log index, and sends the state to an edge that uses this node as its content source. If an
   * older state is still in flight, the newest one follows when that is acknowledged.
   */
  private readonly update = (connection: PeerConnection): void => {
    const subscriber = this.subscribers.get(connection);
    const state = this.acceptor.committedState();
    if (subscriber === undefined || state === null || state.logIndex <= subscriber.logIndex) return;
    if (state.logIndex > subscriber.announcedLogIndex) connection.send('stateAnnounced', state.logIndex);
    subscriber.announcedLogIndex = state.logIndex;
    if (!subscriber.wantsContent || subscriber.inFlight !== null) return;
    subscriber.inFlight = { logIndex: state.logIndex, sentAt: this.clock.now() };
    connection.send('state', this.message(state, subscriber));
  };

  /** Returns the current state as a message for an edge at the given position; null if nothing is committed yet. */
  readonly stateFor = (current: StatePosition): EdgeStateMessage | null => {
    const state = this.acceptor.committedState();
    return state === null ? null : this.message(state, current);
  };

  /** Records that an edge has applied the state at the given position, and sends a newer one if there is one. */
  readonly handleAck = (connection: PeerConnection, { logIndex, configVersion }: StatePosition): void => {
    const subscriber = this.subscribers.get(connection);
    if (subscriber === undefined) return;
    subscriber.lastReceivedAt = this.clock.now();
    if (logIndex >= subscriber.logIndex) Object.assign(subscriber, { logIndex, configVersion });
    if (this.isTransferOver(connection, subscriber)) subscriber.inFlight = null;
    this.update(connection);
  };

  private readonly isTransferOver = (connection: PeerConnection, { inFlight, logIndex }: Subscriber): boolean => {
    if (inFlight === null || logIndex >= inFlight.logIndex) return true;
    return this.clock.now() - inFlight.sentAt > resendTimeoutMs && !connection.isSending('state');
  };

  /** Handles an edge's ping as an acknowledgement, and returns the reply. Times in milliseconds. */
  readonly handlePing = (connection: PeerConnection, ping: EdgePing, majorityContactAgeMs: number | null): EdgePong => {
    this.handleAck(connection, ping);
    return {
      logIndex: this.acceptor.committedState()?.logIndex ?? -1,
      edgeCount: this.edgeCount(),
      hasMajority: majorityContactAgeMs !== null,
      majorityHeardMs: majorityContactAgeMs,
      listAgeMs: this.listAgeMs(),
    };
  };

  /** Returns the number of edges that sent a message in the last 4 s. Each edge divides shared limits by it. */
  readonly edgeCount = (): number => {
    const now = this.clock.now();
    return [...this.subscribers.values()].filter(({ lastReceivedAt }) => now - lastReceivedAt <= idleTimeoutMs).length;
  };

  /** Sends a message to all subscribed edges. */
  readonly sendToAll = (topic: string, body: unknown): void => {
    for (const connection of this.subscribers.keys()) connection.send(topic, body);
  };

  /** Sends a message to the edges that use this node as their content source. */
  readonly sendToContentEdges = (topic: string, body: unknown): void => {
    for (const [connection, { wantsContent }] of this.subscribers) if (wantsContent) connection.send(topic, body);
  };

  /** Sends a message to the edges that use this node as their content source, except the one that it came from. */
  readonly sendToOtherContentEdges = (sender: PeerConnection, topic: string, body: unknown): void => {
    for (const [connection, { wantsContent }] of this.subscribers)
      if (wantsContent && connection !== sender) connection.send(topic, body);
  };

  /** Closes the connections of edges that have sent nothing for 4 s; the edges reconnect. */
  readonly closeIdleConnections = (): void => {
    const now = this.clock.now();
    for (const [connection, { lastReceivedAt }] of [...this.subscribers])
      if (now - lastReceivedAt > idleTimeoutMs) connection.close();
  };

  /** Returns the subscribed edges, for the status page. */
  readonly status = (): EdgeStatus[] => {
    const now = this.clock.now();
    return [...this.subscribers].map(([connection, one]) => ({
      edge: connection.peer?.name ?? '',
      zone: connection.peer?.zone ?? '',
      acked: one.logIndex,
      isContent: one.wantsContent,
      heardMsAgo: Math.round(now - one.lastReceivedAt),
    }));
  };
}
