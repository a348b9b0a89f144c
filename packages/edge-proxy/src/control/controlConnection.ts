/** A edge's connections to the control nodes: which of them is its source, and how it learns what is in force. */
import { background, RepeatingTimer } from '@martenworks/core-types';
import type {
  EndpointListUpdate,
  EdgePong,
  CacheMissReport,
  Ports,
  PrefillNotice,
  PrefixCacheUpdate,
  StatePosition,
  EdgeStateMessage,
  EdgeState,
  WeightsUpdate,
} from '@martenworks/core-types';
import { packedRoutingTables } from '@martenworks/route-table';
import type { NodeSettings } from '@martenworks/settings';
import { hellos } from '@martenworks/peer-transport';
import type { PeerConnection, Handlers, Hello } from '@martenworks/peer-transport';
import { PeerPool, MemberList } from '@martenworks/cluster-membership';
import type { MemberEntry } from '@martenworks/cluster-membership';

const pingMs = 500;
const sourcePingMs = 250;
const pingTimeoutMs = 900;
const chooseMs = 150;
const askTimeoutMs = 700;
const sourceGraceMs = 120;
const sourceTimeoutMs = 1_000;
const silenceLimitMs = 800;
const staleListFactor = 3;
const edgeCountHoldFactor = 2;
const dialPace = { timeoutMs: 700, longestWaitMs: 400 };

export interface ControlListeners {
  readonly state: (update: EdgeState) => void;
  readonly endpoints: (update: EndpointListUpdate) => void;
  readonly weights: (update: WeightsUpdate) => void;
  readonly prefixCaches: (update: readonly PrefixCacheUpdate[]) => void;
  readonly reading: (update: readonly PrefillNotice[]) => void;
  readonly missed: (update: CacheMissReport) => void;
  readonly isReady: () => boolean;
}

/** What a control node is known to hold, by its news and its pongs, and since when it has been ahead of this front. */
interface Known {
  readonly logIndex: number;
  readonly at: number;
}

/** A control node that hears a majority comes before one that has the fresher list of replicas, and that before one that is near. */
const worths = { heard: 1, near: 1, currentList: 4, settled: 8 } as const;

/** Holds a connection to every core node. One of them, in this edge's own zone where there is one, tells all its news; the others tell only which generation they hold, and are asked for it if this edge does not hold it yet. */
export class ControlConnection {
  private readonly memberList: MemberList;
  private readonly peerPool: PeerPool;
  private readonly timers: RepeatingTimer[];
  private readonly pongs = new Map<PeerConnection, EdgePong>();
  private readonly known = new Map<PeerConnection, Known>();
  private pendingStateRequest: PeerConnection | null = null;
  private source: PeerConnection | null = null;
  private held: EdgeState | null = null;
  private heldAt = 0;
  private lastHeardAt: number;
  private edgeCountReport = { edges: 1, at: 0 };

  constructor(
    private readonly settings: NodeSettings,
    private readonly ports: Ports,
    private readonly incarnation: string,
    seeds: readonly string[],
    private readonly listeners: ControlListeners,
  ) {
    const { clock, random } = ports;
    this.lastHeardAt = clock.now();
    this.memberList = new MemberList(clock, this.hello);
    this.peerPool = new PeerPool(
      ports,
      this.hello,
      seeds,
      this.memberList,
      () => (this.held?.members ?? []).map((member) => member.address),
      this.handlers(),
      dialPace,
    );
    this.timers = [
      new RepeatingTimer(clock, () => pingMs * (0.9 + 0.2 * random.fraction()), this.ping),
      new RepeatingTimer(clock, () => sourcePingMs * (0.9 + 0.2 * random.fraction()), this.pingSource),
      new RepeatingTimer(clock, () => chooseMs, this.step),
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

  private readonly handlers = (): Handlers => ({
    joined: (connection) => {
      if (connection.peer?.role !== 'control') return;
      this.memberList.heard(connection.peer);
      connection.tell('subscribe', { ...this.statePosition(), wantsContent: false });
      this.choose();
    },
    left: (connection) => {
      this.pongs.delete(connection);
      this.known.delete(connection);
      if (this.source === connection) this.source = null;
      this.step();
    },
    told: (connection, topic, body) => {
      if (topic === 'state') this.take(connection, body as EdgeStateMessage);
      else if (topic === 'stateAnnounced') this.hearOf(connection, body as number);
      else if (topic === 'weights') this.listeners.weights(body as WeightsUpdate);
      else if (connection !== this.source) return;
      else if (topic === 'prefill') this.listeners.reading(body as PrefillNotice[]);
      else if (topic === 'cacheMiss') this.listeners.missed(body as CacheMissReport);
      else if (topic === 'endpoints') this.listeners.endpoints(body as EndpointListUpdate);
      else if (topic === 'prefixCaches') this.listeners.prefixCaches(body as PrefixCacheUpdate[]);
    },
    asked: async (connection, topic, body) => {
      if (connection.peer !== null) this.memberList.heard(connection.peer);
      if (topic === 'keepalive') return true;
      if (topic !== 'memberList') return null;
      this.memberList.merge(body as MemberEntry[]);
      return [];
    },
  });

  readonly statePosition = (): StatePosition => ({
    logIndex: this.held?.logIndex ?? -1,
    configVersion: this.held?.configVersion ?? 0,
  });

  private readonly take = (connection: PeerConnection, message: EdgeStateMessage): void => {
    if (this.held === null || message.logIndex > this.held.logIndex) this.takeNewer(connection, message);
    connection.tell('ack', this.statePosition());
  };

  private readonly takeNewer = (connection: PeerConnection, message: EdgeStateMessage): void => {
    const { configVersion, packedTable: packed } = message;
    if (packed === null) {
      if (configVersion === this.statePosition().configVersion)
        this.hold({ ...message, table: this.held?.table ?? null });
      else this.askState(connection, 0);
      return;
    }
    const opened = packedRoutingTables.open(packed, {
      configVersion: this.statePosition().configVersion,
      routingTable: this.held?.table ?? null,
    });
    if (opened.isOk()) this.hold({ ...message, table: opened.value });
    else this.askState(connection, 0);
  };

  private readonly hold = (update: EdgeState): void => {
    this.held = update;
    this.heldAt = this.ports.clock.now();
    this.listeners.state(update);
    this.peerPool.align();
  };

  private readonly hearOf = (connection: PeerConnection, logIndex: number): void => {
    if (logIndex <= (this.known.get(connection)?.logIndex ?? -1)) return;
    const at = this.isAhead(connection) ? (this.known.get(connection)?.at ?? 0) : this.ports.clock.now();
    this.known.set(connection, { logIndex, at });
    if (logIndex <= this.statePosition().logIndex) return;
    const waitMs = this.source === null ? 0 : sourceGraceMs;
    this.ports.clock.after(waitMs, this.chase);
  };

  private readonly isAhead = (connection: PeerConnection): boolean =>
    connection.isLive() && (this.known.get(connection)?.logIndex ?? -1) > this.statePosition().logIndex;

  private readonly isSilent = (connection: PeerConnection): boolean => connection.silentMs() > silenceLimitMs;

  /** Whether a newer state is on its way here and goes on. */
  private readonly isStateArriving = (): boolean =>
    this.controlNodes().some((connection) => connection.isReceiving('state') && !this.isSilent(connection));

  /** Whether the source holds a newer state and may still be left to send it unasked. */
  private readonly isSourceTrusted = (): boolean => {
    const source = this.source;
    if (source === null || !this.isAhead(source) || this.isSilent(source)) return false;
    const sinceMs = Math.max(this.known.get(source)?.at ?? 0, this.heldAt);
    return this.ports.clock.now() - sinceMs < sourceTimeoutMs;
  };

  /** Asks for a state that some control node holds and this edge doesn't, of one node at a time and never while one is arriving. */
  private readonly chase = (): void => {
    if (this.pendingStateRequest !== null || this.isStateArriving() || this.isSourceTrusted()) return;
    const ahead = this.controlNodes().filter((connection) => this.isAhead(connection) && !this.isSilent(connection));
    const best = ahead.find((connection) => connection === this.source) ?? this.mostWorth(ahead);
    if (best !== null) this.askState(best, this.statePosition().configVersion);
  };

  private readonly askState = (connection: PeerConnection, configVersion: number): void => {
    if (this.pendingStateRequest !== null || !connection.isLive()) return;
    this.pendingStateRequest = connection;
    background.run(
      'fetch the configuration',
      connection
        .ask('state', { logIndex: this.statePosition().logIndex, configVersion }, askTimeoutMs)
        .then((reply) => {
          this.pendingStateRequest = null;
          if (reply.isOk() && reply.value !== null) this.take(connection, reply.value as EdgeStateMessage);
        }),
    );
  };

  private readonly controlNodes = (): PeerConnection[] =>
    this.peerPool.open().filter((connection) => connection.peer?.role === 'control');

  private readonly listLimitMs = (): number =>
    this.settings.listIntervalMs * staleListFactor + this.settings.listTimeoutMs;

  private readonly worth = (connection: PeerConnection): number => {
    const pong = this.pongs.get(connection);
    if (pong === undefined || this.isSilent(connection)) return 0;
    const isCurrent = pong.listAgeMs !== null && pong.listAgeMs <= this.listLimitMs();
    const isNear = connection.peer?.zone === this.settings.zone;
    return (
      worths.heard +
      (isCurrent ? worths.currentList : 0) +
      (pong.hasMajority ? worths.settled : 0) +
      (isNear ? worths.near : 0)
    );
  };

  private readonly mostWorth = (connections: readonly PeerConnection[]): PeerConnection | null =>
    connections.reduce<PeerConnection | null>(
      (found, connection) => (found === null || this.worth(connection) > this.worth(found) ? connection : found),
      null,
    );

  private readonly step = (): void => {
    this.choose();
    this.chase();
  };

  private readonly choose = (): void => {
    const best = this.mostWorth(this.controlNodes());
    if (best === null || best === this.source) return;
    if (this.source?.isLive() === true && !this.isWorthLeaving(this.source, best)) return;
    if (this.source?.isLive()) this.source.tell('subscribe', { ...this.statePosition(), wantsContent: false });
    this.source = best;
    best.tell('subscribe', { ...this.statePosition(), wantsContent: true });
  };

  /** A source that hears a majority is not left while a state arrives from it. */
  private readonly isWorthLeaving = (source: PeerConnection, best: PeerConnection): boolean => {
    if (this.worth(best) <= this.worth(source)) return false;
    const isSettled = this.pongs.get(source)?.hasMajority === true;
    return !(isSettled && source.isReceiving('state') && !this.isSilent(source));
  };

  private readonly ping = (): void => {
    for (const connection of this.controlNodes()) if (connection !== this.source) this.pingOne(connection);
  };

  private readonly pingSource = (): void => {
    if (this.source?.isLive()) this.pingOne(this.source);
  };

  private readonly pingOne = (connection: PeerConnection): void => {
    const askedAt = this.ports.clock.now();
    background.run(
      'ping a control node',
      connection
        .ask('ping', { ...this.statePosition(), isReady: this.listeners.isReady() }, pingTimeoutMs)
        .then((reply) => {
          if (reply.isErr()) {
            if (reply.error.code === 'late' && connection.silentMs() >= pingTimeoutMs) connection.close();
            return;
          }
          const pong = reply.value as EdgePong | null;
          if (pong === null) return;
          if (pong.majorityHeardMs !== null)
            this.lastHeardAt = Math.max(this.lastHeardAt, askedAt - pong.majorityHeardMs);
          this.pongs.set(connection, pong);
          this.noteEdgeCount(pong.edgeCount);
          this.hearOf(connection, pong.logIndex);
        }),
    );
  };

  readonly reportCacheMiss = (update: CacheMissReport): void => void this.source?.tell('cacheMiss', update);

  readonly reportPrefill = (update: PrefillNotice): void => void this.source?.tell('prefill', update);

  readonly state = (): EdgeState | null => this.held;

  private readonly noteEdgeCount = (edges: number): void => {
    const now = this.ports.clock.now();
    const isOver = now - this.edgeCountReport.at > this.settings.retryBudgetWindowMs * edgeCountHoldFactor;
    if (edges >= this.edgeCountReport.edges || isOver) this.edgeCountReport = { edges: Math.max(1, edges), at: now };
  };

  /** How many edges there are, by the most that was told within two windows of the budget: one that hears nobody, or only control nodes just started, is not alone for that. */
  readonly edgeCount = (): number => this.edgeCountReport.edges;

  /** Milliseconds since a control node that heard a majority of the members was heard, counted from when the majority was. */
  readonly unheardMs = (): number => this.ports.clock.now() - this.lastHeardAt;

  readonly status = (): Record<string, unknown> => ({
    content: this.source?.peer?.name ?? null,
    cores: this.controlNodes().map((connection) => ({
      name: connection.peer?.name ?? '',
      zone: connection.peer?.zone ?? '',
      logIndex: this.pongs.get(connection)?.logIndex ?? null,
    })),
    held: this.statePosition(),
  });

  readonly stop = (): void => {
    for (const repeat of this.timers) repeat.stop();
    this.peerPool.stop();
  };
}
