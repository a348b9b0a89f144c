import { background, pause } from '@martenworks/core-types';
import type { BackEnds, Clock, Log, ReplicaCard, WeightsNews } from '@martenworks/core-types';

const noticeMs = 70;
const firstLookMs = 300;
const lookMs = 110;
const giveUpMs = 4_000;
const restMs = 1_500;
const againMs = 300;
const atOnceShare = 0.25;

interface Waiting {
  readonly card: ReplicaCard;
  readonly model: string;
  readonly version: number;
}

/** Brings the replicas to the weights that were named, some at a time and the oldest weights first, under the lease of one holder. The fronts are told before each order, so that they send nothing there while it is under way. */
export class WeightsDesk {
  private readonly underWay = new Map<string, string>();
  private readonly restUntil = new Map<string, number>();
  private orders = 0;

  constructor(
    private readonly backEnds: BackEnds,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly cards: () => readonly ReplicaCard[],
    private readonly wanted: () => readonly {
      readonly pool: string;
      readonly model: string;
      readonly version: number;
    }[],
    private readonly fence: () => number | null,
    private readonly holder: () => string,
    private readonly tell: (news: WeightsNews) => void,
    private readonly holds: (id: string, model: string, version: number) => void,
  ) {}

  private readonly pending = (): { waiting: Waiting[]; poolSizes: Map<string, number> } => {
    const poolSizes = new Map<string, number>();
    const cards = this.cards();
    for (const card of cards) poolSizes.set(card.pool, (poolSizes.get(card.pool) ?? 0) + 1);
    const now = this.clock.now();
    const waiting = this.wanted().flatMap(({ pool, model, version }) =>
      cards.flatMap((card) => {
        const isBehind =
          card.pool === pool && !card.isLeaving && card.weights[model] !== undefined && card.weights[model] < version;
        return isBehind && !this.underWay.has(card.id) && (this.restUntil.get(card.id) ?? 0) <= now
          ? [{ card, model, version }]
          : [];
      }),
    );
    return {
      waiting: waiting.sort((a, b) => (a.card.weights[a.model] ?? 0) - (b.card.weights[b.model] ?? 0)),
      poolSizes,
    };
  };

  readonly step = (): void => {
    if (this.fence() === null) return;
    const { waiting, poolSizes } = this.pending();
    for (const one of waiting) {
      if (this.underWay.has(one.card.id)) continue;
      const inPool = [...this.underWay.values()].filter((pool) => pool === one.card.pool).length;
      if (inPool >= Math.max(1, Math.floor((poolSizes.get(one.card.pool) ?? 0) * atOnceShare))) continue;
      this.underWay.set(one.card.id, one.card.pool);
      background.run(
        'load weights',
        this.bring(one).finally(() => this.underWay.delete(one.card.id)),
      );
    }
  };

  private readonly rest = ({ card, model }: Waiting, forMs: number): void =>
    this.tell({ id: card.id, model, version: null, forMs });

  private readonly done = ({ card, model, version }: Waiting): void => {
    this.holds(card.id, model, version);
    this.tell({ id: card.id, model, version, forMs: 0 });
  };

  private readonly postpone = (one: Waiting, forMs: number): void => {
    this.restUntil.set(one.card.id, this.clock.now() + forMs);
    this.rest(one, 0);
  };

  private readonly bring = async (one: Waiting): Promise<void> => {
    const { card, model, version } = one;
    this.rest(one, restMs);
    await pause.for(this.clock, noticeMs);
    const fence = this.fence();
    if (fence === null) return this.postpone(one, 0);
    this.orders += 1;
    const receipt = await this.backEnds.order(card, { model, version, holder: this.holder(), fence });
    this.log.info('weights were ordered', { replica: card.id, model, version, fence, receipt });
    if (receipt === 'holds') return this.done(one);
    if (receipt === 'outranked' || receipt === 'refused' || receipt === 'elsewhere') return this.postpone(one, againMs);
    await this.watch(one);
  };

  private readonly watch = async (one: Waiting): Promise<void> => {
    const { card, model, version } = one;
    const until = this.clock.now() + giveUpMs;
    await pause.for(this.clock, firstLookMs);
    let toldAt = this.clock.now();
    while (this.clock.now() < until) {
      if (this.fence() === null) return;
      const report = await this.backEnds.report(card);
      if (report.isOk() && (report.value.weights[model] ?? 0) >= version) return this.done(one);
      if (report.isOk() && !report.value.isBusy) return this.postpone(one, againMs);
      if (report.isErr() && !this.cards().some((held) => held.id === card.id)) return;
      if (this.clock.now() - toldAt > restMs / 2) {
        this.rest(one, restMs);
        toldAt = this.clock.now();
      }
      await pause.for(this.clock, lookMs);
    }
    this.postpone(one, againMs);
  };

  readonly status = (): { underWay: string[]; orders: number } => ({
    underWay: [...this.underWay.keys()],
    orders: this.orders,
  });
}
