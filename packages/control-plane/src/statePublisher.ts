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
    private readonly greet: (coach: PeerConnection) => void,
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

  readonly subscribe = (coach: PeerConnection, { generation, edition, wantsContent }: Subscription): void => {
    const wasContent = this.subscribers.get(coach)?.wantsContent === true;
    this.subscribers.set(coach, { generation, edition, acked: generation, heardAt: this.clock.now(), wantsContent });
    this.bringTo(coach);
    if (wantsContent && !wasContent) this.greet(coach);
  };

  readonly drop = (coach: PeerConnection): void => void this.subscribers.delete(coach);

  private readonly bring = (): void => {
    this.noteEdition();
    this.noteNamed();
    for (const coach of this.subscribers.keys()) this.bringTo(coach);
  };

  private readonly bringTo = (coach: PeerConnection): void => {
    const subscriber = this.subscribers.get(coach);
    const state = this.acceptor.agreed();
    if (subscriber === undefined || state === null || state.generation <= subscriber.generation) return;
    if (!subscriber.wantsContent) return void coach.tell('news', state.generation);
    const news = this.stateNews(state, subscriber);
    coach.tell('state', news);
    subscriber.generation = news.generation;
    subscriber.edition = news.edition;
  };

  readonly stateFor = (held: StateHeld): StateNews | null => {
    const state = this.acceptor.agreed();
    return state === null ? null : this.stateNews(state, held);
  };

  readonly acked = (coach: PeerConnection, { generation, edition }: StateHeld): void => {
    const subscriber = this.subscribers.get(coach);
    if (subscriber === undefined) return;
    Object.assign(subscriber, { acked: generation, heardAt: this.clock.now() });
    subscriber.generation = Math.max(subscriber.generation, generation);
    subscriber.edition = Math.max(subscriber.edition, edition);
  };

  readonly pong = (coach: PeerConnection, ping: FrontPing, isSettled: boolean): FrontPong => {
    this.acked(coach, ping);
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
    for (const coach of this.subscribers.keys()) coach.tell(topic, body);
  };

  readonly tellContent = (topic: string, body: unknown): void => {
    for (const [coach, { wantsContent }] of this.subscribers) if (wantsContent) coach.tell(topic, body);
  };

  readonly tellOthers = (sender: PeerConnection, topic: string, body: unknown): void => {
    for (const [coach, { wantsContent }] of this.subscribers)
      if (wantsContent && coach !== sender) coach.tell(topic, body);
  };

  readonly dropSilent = (): void => {
    const now = this.clock.now();
    for (const [coach, { heardAt }] of [...this.subscribers]) if (now - heardAt > silentMs) coach.close();
  };

  readonly lines = (): FrontLine[] => {
    const now = this.clock.now();
    return [...this.subscribers].map(([coach, one]) => ({
      front: coach.neighbour?.name ?? '',
      zone: coach.neighbour?.zone ?? '',
      acked: one.acked,
      isContent: one.wantsContent,
      heardMsAgo: Math.round(now - one.heardAt),
    }));
  };
}
