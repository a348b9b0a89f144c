/** Tells fronts what is in force: all of it to those whose source this node is, the bare generation to the others. */
import type {
  Agreed,
  Clock,
  FrontPing,
  FrontPong,
  StateHeld,
  StateMessage,
  Subscription,
} from '@martenworks/core-types';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { Acceptor } from './acceptor.js';
import { BookHistory } from './bookHistory.js';

const silentMs = 4_000;
const agesKept = 8;
const resendMs = 1_000;

/** A state that was sent to a front and that it has not confirmed. */
interface Transfer {
  readonly generation: number;
  readonly sentAt: number;
}

/** `generation` and `edition` are what the front is known to hold. */
interface Subscriber {
  generation: number;
  edition: number;
  underWay: Transfer | null;
  announced: number;
  heardAt: number;
  wantsContent: boolean;
}

export interface FrontLine {
  readonly front: string;
  readonly zone: string;
  readonly acked: number;
  readonly isContent: boolean;
  readonly heardMsAgo: number;
}

interface Named {
  readonly version: number;
  readonly at: number;
}

export class StatePublisher {
  private readonly subscribers = new Map<PeerConnection, Subscriber>();
  private readonly named = new Map<string, readonly Named[]>();
  private readonly history = new BookHistory();

  constructor(
    private readonly acceptor: Acceptor,
    private readonly clock: Clock,
    private readonly listAgeMs: () => number | null,
    private readonly greet: (connection: PeerConnection) => void,
  ) {
    this.history.note(acceptor.agreed()?.ways ?? null);
    this.noteNamed();
    acceptor.watch(this.bring);
  }

  private readonly noteNamed = (): void => {
    const at = this.clock.now();
    for (const [model, version] of Object.entries(this.acceptor.agreed()?.named ?? {})) {
      const held = this.named.get(model) ?? [];
      if ((held.at(-1)?.version ?? 0) < version) this.named.set(model, [...held, { version, at }].slice(-agesKept));
    }
  };

  private readonly message = (state: Agreed, held: StateHeld): StateMessage => {
    const edition = state.ways?.edition ?? 0;
    const now = this.clock.now();
    const namedAges = Object.fromEntries(
      [...this.named].map(([model, list]) => [
        model,
        list.map(({ version, at }) => ({ version, msAgo: Math.round(now - at) })),
      ]),
    );
    this.history.note(state.ways);
    return {
      generation: state.generation,
      edition,
      book: this.history.messageFrom(held.edition),
      named: state.named,
      namedAges,
      members: state.members,
    };
  };

  readonly subscribe = (connection: PeerConnection, { generation, edition, wantsContent }: Subscription): void => {
    const before = this.subscribers.get(connection);
    const wasContent = before?.wantsContent === true;
    this.subscribers.set(connection, {
      generation,
      edition,
      underWay: connection.isSending('state') ? (before?.underWay ?? null) : null,
      announced: before?.announced ?? -1,
      heardAt: this.clock.now(),
      wantsContent,
    });
    this.bringTo(connection);
    if (wantsContent && !wasContent) this.greet(connection);
  };

  readonly drop = (connection: PeerConnection): void => void this.subscribers.delete(connection);

  private readonly bring = (): void => {
    this.history.note(this.acceptor.agreed()?.ways ?? null);
    this.noteNamed();
    for (const connection of this.subscribers.keys()) this.bringTo(connection);
  };

  /** Announces the generation in force and, to a front whose source this is, sends the state unless an older one is under way: once that is confirmed, the newest follows. */
  private readonly bringTo = (connection: PeerConnection): void => {
    const subscriber = this.subscribers.get(connection);
    const state = this.acceptor.agreed();
    if (subscriber === undefined || state === null || state.generation <= subscriber.generation) return;
    if (state.generation > subscriber.announced) connection.tell('news', state.generation);
    subscriber.announced = state.generation;
    if (!subscriber.wantsContent || subscriber.underWay !== null) return;
    subscriber.underWay = { generation: state.generation, sentAt: this.clock.now() };
    connection.tell('state', this.message(state, subscriber));
  };

  /** What is in force for a front that asks: null where nothing was agreed. */
  readonly stateFor = (held: StateHeld): StateMessage | null => {
    const state = this.acceptor.agreed();
    return state === null ? null : this.message(state, held);
  };

  readonly acked = (connection: PeerConnection, { generation, edition }: StateHeld): void => {
    const subscriber = this.subscribers.get(connection);
    if (subscriber === undefined) return;
    subscriber.heardAt = this.clock.now();
    if (generation >= subscriber.generation) Object.assign(subscriber, { generation, edition });
    if (this.isOver(connection, subscriber)) subscriber.underWay = null;
    this.bringTo(connection);
  };

  private readonly isOver = (connection: PeerConnection, { underWay, generation }: Subscriber): boolean => {
    if (underWay === null || generation >= underWay.generation) return true;
    return this.clock.now() - underWay.sentAt > resendMs && !connection.isSending('state');
  };

  readonly pong = (connection: PeerConnection, ping: FrontPing, majorityHeardMs: number | null): FrontPong => {
    this.acked(connection, ping);
    return {
      generation: this.acceptor.agreed()?.generation ?? -1,
      fronts: this.fronts(),
      isSettled: majorityHeardMs !== null,
      majorityHeardMs,
      listAgeMs: this.listAgeMs(),
    };
  };

  readonly fronts = (): number => {
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

  readonly lines = (): FrontLine[] => {
    const now = this.clock.now();
    return [...this.subscribers].map(([connection, one]) => ({
      front: connection.neighbour?.name ?? '',
      zone: connection.neighbour?.zone ?? '',
      acked: one.generation,
      isContent: one.wantsContent,
      heardMsAgo: Math.round(now - one.heardAt),
    }));
  };
}
