/** Tells edges what is in force: all of it to those whose source this node is, the bare generation to the others. */
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
import { RoutingTableHistory } from './routingTableHistory.js';

const silentMs = 4_000;
const agesKept = 8;
const resendMs = 1_000;

/** A state that was sent to an edge and that it has not confirmed. */
interface Transfer {
  readonly logIndex: number;
  readonly sentAt: number;
}

/** `generation` and `edition` are what the edge is known to hold. */
interface Subscriber {
  logIndex: number;
  configVersion: number;
  underWay: Transfer | null;
  announced: number;
  heardAt: number;
  wantsContent: boolean;
}

export interface EdgeStatus {
  readonly edge: string;
  readonly zone: string;
  readonly acked: number;
  readonly isContent: boolean;
  readonly heardMsAgo: number;
}

interface VersionSince {
  readonly version: number;
  readonly at: number;
}

export class StatePublisher {
  private readonly subscribers = new Map<PeerConnection, Subscriber>();
  private readonly named = new Map<string, readonly VersionSince[]>();
  private readonly history = new RoutingTableHistory();

  constructor(
    private readonly acceptor: Acceptor,
    private readonly clock: Clock,
    private readonly listAgeMs: () => number | null,
    private readonly greet: (connection: PeerConnection) => void,
  ) {
    this.history.note(acceptor.agreed()?.routing ?? null);
    this.noteNamed();
    acceptor.watch(this.updateAll);
  }

  private readonly noteNamed = (): void => {
    const at = this.clock.now();
    for (const [model, version] of Object.entries(this.acceptor.agreed()?.targetWeights ?? {})) {
      const held = this.named.get(model) ?? [];
      if ((held.at(-1)?.version ?? 0) < version) this.named.set(model, [...held, { version, at }].slice(-agesKept));
    }
  };

  private readonly message = (state: CommittedState, held: StatePosition): EdgeStateMessage => {
    const configVersion = state.routing?.configVersion ?? 0;
    const now = this.clock.now();
    const namedAges = Object.fromEntries(
      [...this.named].map(([model, list]) => [
        model,
        list.map(({ version, at }) => ({ version, msAgo: Math.round(now - at) })),
      ]),
    );
    this.history.note(state.routing);
    return {
      logIndex: state.logIndex,
      configVersion,
      packedTable: this.history.messageFrom(held.configVersion),
      targetWeights: state.targetWeights,
      weightsAges: namedAges,
      members: state.members,
    };
  };

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

  readonly drop = (connection: PeerConnection): void => void this.subscribers.delete(connection);

  private readonly updateAll = (): void => {
    this.history.note(this.acceptor.agreed()?.routing ?? null);
    this.noteNamed();
    for (const connection of this.subscribers.keys()) this.update(connection);
  };

  /** Announces the generation in force and, to an edge whose source this is, sends the state unless an older one is under way: once that is confirmed, the newest follows. */
  private readonly update = (connection: PeerConnection): void => {
    const subscriber = this.subscribers.get(connection);
    const state = this.acceptor.agreed();
    if (subscriber === undefined || state === null || state.logIndex <= subscriber.logIndex) return;
    if (state.logIndex > subscriber.announced) connection.tell('stateAnnounced', state.logIndex);
    subscriber.announced = state.logIndex;
    if (!subscriber.wantsContent || subscriber.underWay !== null) return;
    subscriber.underWay = { logIndex: state.logIndex, sentAt: this.clock.now() };
    connection.tell('state', this.message(state, subscriber));
  };

  /** What is in force for an edge that asks: null where nothing was agreed. */
  readonly stateFor = (held: StatePosition): EdgeStateMessage | null => {
    const state = this.acceptor.agreed();
    return state === null ? null : this.message(state, held);
  };

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

  readonly edgeCount = (): number => {
    const now = this.clock.now();
    return [...this.subscribers.values()].filter(({ heardAt }) => now - heardAt <= silentMs).length;
  };

  readonly tellAll = (topic: string, body: unknown): void => {
    for (const connection of this.subscribers.keys()) connection.tell(topic, body);
  };

  readonly tellContent = (topic: string, body: unknown): void => {
    for (const [connection, { wantsContent }] of this.subscribers) if (wantsContent) connection.tell(topic, body);
  };

  readonly tellOthers = (sender: PeerConnection, topic: string, body: unknown): void => {
    for (const [connection, { wantsContent }] of this.subscribers)
      if (wantsContent && connection !== sender) connection.tell(topic, body);
  };

  readonly dropSilent = (): void => {
    const now = this.clock.now();
    for (const [connection, { heardAt }] of [...this.subscribers]) if (now - heardAt > silentMs) connection.close();
  };

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
