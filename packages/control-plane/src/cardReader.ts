import { background, pause } from '@martenworks/core-types';
import type { BackEnds, CardsNews, Clock, Log, Random, ReplicaCard } from '@martenworks/core-types';

/** Milliseconds between two readings, and calls a second that all readers may make together. */
export interface ReadingPace {
  readonly everyMs: number;
  readonly perSecond: number;
  readonly readers: () => number;
}

const entriesPerCall = 50;
const usedShare = 0.6;

const newer = (told: ReplicaCard, held: ReplicaCard | undefined): ReplicaCard => {
  if (held === undefined) return told;
  const weights = { ...told.weights };
  for (const [model, version] of Object.entries(held.weights)) weights[model] = Math.max(version, weights[model] ?? 0);
  return { ...told, weights, isLeaving: told.isLeaving || held.isLeaving };
};

/** Reads the list of replicas again and again and tells what changed, the first time all of it. Pages shift while they are read, so a replica is gone once two readings in a row lack it. A replica's id is one life of it: leaving and its weights' versions never go back within it. */
export class CardReader {
  private cards = new Map<string, ReplicaCard>();
  private missing = new Set<string>();
  private readAt: number | null = null;
  private isStopped = false;

  constructor(
    private readonly backEnds: BackEnds,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
    private readonly pace: ReadingPace,
    private readonly tell: (news: CardsNews) => void,
  ) {
    background.run('read the replica list', this.run());
  }

  private readonly waitMs = (): number => {
    const calls = Math.ceil((this.cards.size + 1) / entriesPerCall) * Math.max(1, this.pace.readers());
    return Math.max(this.pace.everyMs, (calls / (this.pace.perSecond * usedShare)) * 1_000);
  };

  private readonly run = async (): Promise<void> => {
    while (!this.isStopped) {
      const read = await this.backEnds.replicas();
      if (this.isStopped) return;
      if (read.isOk()) this.take(read.value);
      else this.log.warn('the list of replicas was not read', { fault: read.error });
      await pause.for(this.clock, this.waitMs() * (0.9 + 0.2 * this.random.fraction()));
    }
  };

  private readonly take = (told: readonly ReplicaCard[]): void => {
    const isWhole = this.readAt === null;
    this.readAt = this.clock.now();
    const next = new Map(told.map((card) => [card.id, newer(card, this.cards.get(card.id))]));
    const absent = [...this.cards.values()].filter(({ id }) => !next.has(id));
    const missed = absent.filter(({ id }) => !this.missing.has(id));
    for (const card of missed) next.set(card.id, card);
    this.missing = new Set(missed.map(({ id }) => id));
    const put = [...next.values()].filter((card) => JSON.stringify(card) !== JSON.stringify(this.cards.get(card.id)));
    const gone = [...this.cards.keys()].filter((id) => !next.has(id));
    this.cards = next;
    if (isWhole || put.length > 0 || gone.length > 0) this.tell({ isWhole, put, gone });
  };

  readonly holds = (id: string, model: string, version: number): void => {
    const card = this.cards.get(id);
    if (card === undefined || (card.weights[model] ?? 0) >= version) return;
    this.cards.set(id, { ...card, weights: { ...card.weights, [model]: version } });
  };

  readonly all = (): ReplicaCard[] => [...this.cards.values()];

  readonly find = (id: string): ReplicaCard | undefined => this.cards.get(id);

  readonly ageMs = (): number | null => (this.readAt === null ? null : Math.round(this.clock.now() - this.readAt));

  readonly stop = (): void => {
    this.isStopped = true;
  };
}
