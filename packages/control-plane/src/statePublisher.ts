import type {
  Agreed,
  BookPatch,
  Clock,
  FrontPing,
  FrontPong,
  StateHeld,
  StateNews,
  Subscription,
  WaysInForce,
} from '@martenworks/core-types';
import type { PeerConnection } from '@martenworks/peer-transport';
import { patches } from '@martenworks/route-table';
import type { Acceptor } from './acceptor.js';

const silentMs = 4_000;
const agesKept = 8;

interface Subscriber {
  generation: number;
  edition: number;
  acked: number;
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
  private lastWays: WaysInForce | null = null;
  private patch: BookPatch | null = null;

  constructor(
    private readonly acceptor: Acceptor,
    private readonly clock: Clock,
    private readonly listAgeMs: () => number | null,
    private readonly greet: (connection: PeerConnection) => void,
  ) {
    this.lastWays = acceptor.agreed()?.ways ?? null;
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

  private readonly noteEdition = (): void => {
    const ways = this.acceptor.agreed()?.ways ?? null;
    if (ways === null || ways.edition === this.lastWays?.edition) return;
    const patch = this.lastWays === null ? null : patches.between(this.lastWays.edition, this.lastWays.book, ways.book);
    this.patch = patch !== null && patches.isSmaller(patch, ways.book) ? patch : null;
    this.lastWays = ways;
  };

  private readonly stateNews = (state: Agreed, held: StateHeld): StateNews => {
    const edition = state.ways?.edition ?? 0;
    const now = this.clock.now();
    const namedAges = Object.fromEntries(
      [...this.named].map(([model, list]) => [
        model,
        list.map(({ version, at }) => ({ version, msAgo: Math.round(now - at) })),
      ]),
    );
    const isPatched = this.patch !== null && this.lastWays?.edition === edition && this.patch.from === held.edition;
    const book = held.edition === edition || isPatched ? null : (state.ways?.book ?? null);
    return {
      generation: state.generation,
      edition,
      book,
      patch: isPatched ? this.patch : null,
      named: state.named,
      namedAges,
      members: state.members,
    };
  };

  readonly subscribe = (connection: PeerConnection, { generation, edition, wantsContent }: Subscription): void => {
    const wasContent = this.subscribers.get(connection)?.wantsContent === true;
    this.subscribers.set(connection, {
      generation,
      edition,
      acked: generation,
      heardAt: this.clock.now(),
      wantsContent,
    });
    this.bringTo(connection);
    if (wantsContent && !wasContent) this.greet(connection);
  };

  readonly drop = (connection: PeerConnection): void => void this.subscribers.delete(connection);

  private readonly bring = (): void => {
    this.noteEdition();
    this.noteNamed();
    for (const connection of this.subscribers.keys()) this.bringTo(connection);
  };

  private readonly bringTo = (connection: PeerConnection): void => {
    const subscriber = this.subscribers.get(connection);
    const state = this.acceptor.agreed();
    if (subscriber === undefined || state === null || state.generation <= subscriber.generation) return;
    if (!subscriber.wantsContent) return void connection.tell('news', state.generation);
    const news = this.stateNews(state, subscriber);
    connection.tell('state', news);
    subscriber.generation = news.generation;
    subscriber.edition = news.edition;
  };

  readonly stateFor = (held: StateHeld): StateNews | null => {
    const state = this.acceptor.agreed();
    return state === null ? null : this.stateNews(state, held);
  };

  readonly acked = (connection: PeerConnection, { generation, edition }: StateHeld): void => {
    const subscriber = this.subscribers.get(connection);
    if (subscriber === undefined) return;
    Object.assign(subscriber, { acked: generation, heardAt: this.clock.now() });
    subscriber.generation = Math.max(subscriber.generation, generation);
    subscriber.edition = Math.max(subscriber.edition, edition);
  };

  readonly pong = (connection: PeerConnection, ping: FrontPing, isSettled: boolean): FrontPong => {
    this.acked(connection, ping);
    return {
      generation: this.acceptor.agreed()?.generation ?? -1,
      fronts: this.fronts(),
      isSettled,
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
      acked: one.acked,
      isContent: one.wantsContent,
      heardMsAgo: Math.round(now - one.heardAt),
    }));
  };
}
