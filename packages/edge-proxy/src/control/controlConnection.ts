/** An edge's connections to the control nodes, and the choice of the one that is its source of updates. */
import { background, RepeatingTimer } from '@martenworks/core-types';
import type {
  EndpointListUpdate,
  EdgePong,
  CacheMissReport,
  Ports,
  PrefillNotice,
  PrefixCacheUpdate,
  StatePosition,
  EdgeState,
  WeightsUpdate,
} from '@martenworks/core-types';
import type { NodeSettings } from '@martenworks/settings';
import { hellos } from '@martenworks/peer-transport';
import type { PeerConnection, PeerHandlers, Hello } from '@martenworks/peer-transport';
import { PeerPool, MemberList } from '@martenworks/cluster-membership';
import { edgeMessages } from './edgeMessages.js';
import { SourceScorer } from './sourceScorer.js';
import { StateReceiver } from './stateReceiver.js';

const pingIntervalMs = 500;
const sourcePingIntervalMs = 250;
const pingTimeoutMs = 900;
const sourceSelectionIntervalMs = 150;
const maxListAgeFactor = 3;
const edgeCountWindows = 2;
const dialOptions = { timeoutMs: 700, maxBackoffMs: 400 };

/** Listeners for updates from control nodes, called synchronously in the order of arrival on each connection. */
export interface ControlListeners {
  readonly onState: (update: EdgeState) => void;
  readonly onEndpoints: (update: EndpointListUpdate) => void;
  readonly onWeights: (update: WeightsUpdate) => void;
  readonly onPrefixCaches: (update: readonly PrefixCacheUpdate[]) => void;
  readonly onPrefillNotices: (update: readonly PrefillNotice[]) => void;
  readonly onCacheMiss: (update: CacheMissReport) => void;
  readonly isReady: () => boolean;
}

/**
 * Maintains a connection to every control node. One of them, the source, pushes all updates. The others announce only
 * their log index, and the state is fetched from them if this edge doesn't have it yet.
 */
export class ControlConnection {
  private readonly memberList: MemberList;
  private readonly peerPool: PeerPool;
  private readonly scorer: SourceScorer;
  private readonly receiver: StateReceiver;
  private readonly timers: RepeatingTimer[];
  private source: PeerConnection | null = null;
  /** -Infinity until a pong reports a majority: an edge that has just started has had no contact yet. */
  private lastMajorityContactAt = Number.NEGATIVE_INFINITY;
  private edgeCountReport = { edges: 1, at: 0 };

  constructor(
    private readonly settings: NodeSettings,
    private readonly ports: Ports,
    private readonly incarnation: string,
    seeds: readonly string[],
    private readonly listeners: ControlListeners,
  ) {
    const { clock, random } = ports;
    this.scorer = new SourceScorer(settings.zone, settings.listIntervalMs * maxListAgeFactor + settings.listTimeoutMs);
    this.receiver = new StateReceiver({
      clock,
      scorer: this.scorer,
      source: () => this.source,
      controlNodes: () => this.controlNodes(),
      onState: (state) => this.applyState(state),
    });
    this.memberList = new MemberList(clock, this.hello);
    this.peerPool = new PeerPool(
      ports,
      this.hello,
      seeds,
      this.memberList,
      () => (this.receiver.state()?.members ?? []).map((member) => member.address),
      this.handlers(),
      dialOptions,
    );
    this.timers = [
      new RepeatingTimer(clock, () => pingIntervalMs * (0.9 + 0.2 * random.fraction()), this.ping),
      new RepeatingTimer(clock, () => sourcePingIntervalMs * (0.9 + 0.2 * random.fraction()), this.pingSource),
      new RepeatingTimer(clock, () => sourceSelectionIntervalMs, this.selectSourceAndFetch),
    ];
  }

  private readonly hello = (): Hello =>
    hellos.of(
      'edge',
      {
        name: this.settings.name,
        peerAddress: this.settings.peerAddress,
        http: this.settings.http,
        operators: null,
        zone: this.settings.zone,
      },
      this.incarnation,
    );

  private readonly handlers = (): PeerHandlers => ({
    onOpen: (connection) => {
      if (connection.peer?.role !== 'control') return;
      this.memberList.recordContact(connection.peer);
      connection.send('subscribe', { ...this.statePosition(), wantsContent: false });
      this.selectSource();
    },
    onClose: (connection) => {
      this.scorer.forget(connection);
      this.receiver.forget(connection);
      if (this.source === connection) this.source = null;
      this.selectSourceAndFetch();
    },
    onMessage: this.receive,
    onCall: async (connection, topic, body) => {
      if (connection.peer !== null) this.memberList.recordContact(connection.peer);
      if (topic === 'keepalive') return true;
      if (topic !== 'memberList') return null;
      if (edgeMessages.isMemberEntries(body)) this.memberList.merge(body);
      return [];
    },
  });

  private readonly receive = (connection: PeerConnection, topic: string, body: unknown): void => {
    if (topic === 'state') {
      if (edgeMessages.isState(body)) this.receiver.handleState(connection, body);
    } else if (topic === 'stateAnnounced') {
      if (edgeMessages.isLogIndex(body)) this.receiver.handleAnnouncement(connection, body);
    } else if (topic === 'weights') {
      if (edgeMessages.isWeights(body)) this.listeners.onWeights(body);
    } else if (connection === this.source) this.receiveFromSource(topic, body);
  };

  private readonly receiveFromSource = (topic: string, body: unknown): void => {
    const { onPrefillNotices, onCacheMiss, onEndpoints, onPrefixCaches } = this.listeners;
    if (topic === 'prefill' && edgeMessages.isPrefillNotices(body)) onPrefillNotices(body);
    else if (topic === 'cacheMiss' && edgeMessages.isCacheMiss(body)) onCacheMiss(body);
    else if (topic === 'endpoints' && edgeMessages.isEndpointList(body)) onEndpoints(body);
    else if (topic === 'prefixCaches' && edgeMessages.isPrefixCacheUpdates(body)) onPrefixCaches(body);
  };

  private readonly applyState = (state: EdgeState): void => {
    this.listeners.onState(state);
    this.peerPool.reconcile();
  };

  /** Log index and configuration version of this edge's state; -1 and 0 before the first state. */
  readonly statePosition = (): StatePosition => this.receiver.position();

  private readonly controlNodes = (): PeerConnection[] =>
    this.peerPool.openConnections().filter((connection) => connection.peer?.role === 'control');

  private readonly selectSourceAndFetch = (): void => {
    this.selectSource();
    this.receiver.fetchNewer();
  };

  private readonly selectSource = (): void => {
    const best = this.scorer.best(this.controlNodes());
    if (best === null || best === this.source) return;
    if (this.source?.isLive() === true && !this.scorer.isBetter(best, this.source)) return;
    if (this.source?.isLive()) this.source.send('subscribe', { ...this.statePosition(), wantsContent: false });
    this.source = best;
    best.send('subscribe', { ...this.statePosition(), wantsContent: true });
  };

  private readonly ping = (): void => {
    for (const connection of this.controlNodes()) if (connection !== this.source) this.pingOne(connection);
  };

  private readonly pingSource = (): void => {
    if (this.source?.isLive()) this.pingOne(this.source);
  };

  private readonly pingOne = (connection: PeerConnection): void => {
    const sentAt = this.ports.clock.now();
    background.run(
      'ping a control node',
      connection
        .call('ping', { ...this.statePosition(), isReady: this.listeners.isReady() }, pingTimeoutMs)
        .then((reply) => {
          if (reply.isErr()) {
            if (reply.error.code === 'timeout' && connection.idleMs() >= pingTimeoutMs) connection.close();
            return;
          }
          if (edgeMessages.isPong(reply.value)) this.handlePong(connection, reply.value, sentAt);
        }),
    );
  };

  private readonly handlePong = (connection: PeerConnection, pong: EdgePong, sentAt: number): void => {
    if (pong.majorityHeardMs !== null)
      this.lastMajorityContactAt = Math.max(this.lastMajorityContactAt, sentAt - pong.majorityHeardMs);
    this.scorer.recordPong(connection, pong);
    this.recordEdgeCount(pong.edgeCount);
    this.receiver.handleAnnouncement(connection, pong.logIndex);
  };

  /**
   * Sends a report of missing cache entries to the source. It is dropped where there is no source: each edge detects stale
   * entries by itself too.
   */
  readonly reportCacheMiss = (update: CacheMissReport): void => void this.source?.send('cacheMiss', update);

  /**
   * Sends the source a notice that a long prefill starts or ends. It is dropped where there is no source; the notices
   * expire at the receivers.
   */
  readonly reportPrefill = (update: PrefillNotice): void => void this.source?.send('prefill', update);

  /** The newest state that this edge has received; null before the first. */
  readonly state = (): EdgeState | null => this.receiver.state();

  private readonly recordEdgeCount = (edges: number): void => {
    const now = this.ports.clock.now();
    const isExpired = now - this.edgeCountReport.at > this.settings.retryBudgetWindowMs * edgeCountWindows;
    if (edges >= this.edgeCountReport.edges || isExpired) this.edgeCountReport = { edges: Math.max(1, edges), at: now };
  };

  /**
   * Number of edges: the highest count reported within two windows of the retry budget. Without that memory, an edge that
   * lost its connections, or whose control nodes have just started, would take itself for the only edge.
   */
  readonly edgeCount = (): number => this.edgeCountReport.edges;

  /**
   * Milliseconds since a majority of the members was known to be alive: the time of the ping less the age of the
   * majority's messages that the pong states.
   */
  readonly majorityContactAgeMs = (): number => this.ports.clock.now() - this.lastMajorityContactAt;

  /** The control connections for the operators' pages, as JSON. */
  readonly status = (): Record<string, unknown> => ({
    content: this.source?.peer?.name ?? null,
    cores: this.controlNodes().map((connection) => ({
      name: connection.peer?.name ?? '',
      zone: connection.peer?.zone ?? '',
      logIndex: this.scorer.pongOf(connection)?.logIndex ?? null,
    })),
    held: this.statePosition(),
  });

  /** Stops the timers and the peer pool. */
  readonly stop = (): void => {
    for (const repeat of this.timers) repeat.stop();
    this.peerPool.stop();
  };
}
