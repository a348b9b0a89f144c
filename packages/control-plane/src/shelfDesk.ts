import { background, LifePairs, pause } from '@martenworks/core-types';
import type { BackEnds, Clock, KeptNews, Log, MissedNews, Random, ShelfNews } from '@martenworks/core-types';

const leastTokens = 256;
const holdMs = 1_000;
const paceMs = 400;
const faultPauseMs = 250;
const unheardMs = 1_500;
const bundleMs = 150;
const doubtMs = 60_000;

const labelOf = ({ salt, part }: { salt: string; part: string }): string => `${salt}\n${part}`;

interface Shelf {
  readonly kept: Map<string, KeptNews>;
  readonly fresh: KeptNews[];
  readonly doubted: Map<string, number>;
  readonly pairs: LifePairs;
  ids: ReadonlySet<string>;
  epoch: string;
  since: number;
  heardAt: number;
  isHeard: boolean;
  isCleared: boolean;
  isStopped: boolean;
}

/** Knows what replicas and stores keep. Each address is followed by one core node, which tells its fronts and the other core nodes in bundles; parts below 256 tokens are not worth telling. */
export class ShelfDesk {
  private readonly shelves = new Map<string, Shelf>();
  private readonly counts = { missed: 0, lives: 0, falseAlarms: 0 };
  private isBundling = false;

  constructor(
    private readonly backEnds: BackEnds,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
    private readonly tell: (news: readonly ShelfNews[]) => void,
    private readonly relay: (news: readonly ShelfNews[]) => void,
  ) {}

  /** The address now has these replicas, by the list, which shows a crashed one for a while. Where its events have not told a new epoch yet, what the one before kept is forgotten at once. */
  readonly lives = (address: string, ids: ReadonlySet<string>): void => {
    const shelf = this.shelves.get(address);
    if (shelf === undefined) return;
    const isBorn = shelf.ids.size > 0 && [...ids].some((id) => !shelf.ids.has(id));
    shelf.ids = ids;
    if (!isBorn || !shelf.pairs.isFirstById()) return;
    this.counts.lives += 1;
    this.clear(shelf);
    this.plan();
  };

  /** A front's answers showed that these parts are gone: they come back by fresh events only. */
  readonly missed = ({ address, salt, parts, isDecided }: MissedNews): void => {
    const shelf = this.shelves.get(address);
    if (shelf === undefined || !isDecided) return;
    for (const part of parts) {
      const label = labelOf({ salt, part });
      if (!shelf.kept.delete(label)) continue;
      this.counts.missed += 1;
      shelf.doubted.set(label, this.clock.now());
      shelf.fresh.splice(0, shelf.fresh.length, ...shelf.fresh.filter((news) => labelOf(news) !== label));
      shelf.fresh.push({ isKept: false, salt, part, tokens: 0 });
      this.plan();
    }
  };

  private readonly clear = (shelf: Shelf): void => {
    shelf.kept.clear();
    shelf.doubted.clear();
    shelf.fresh.length = 0;
    shelf.isCleared = true;
  };

  /** `isMine` says which addresses this node follows; the others it hears of from whoever does. */
  readonly align = (addresses: ReadonlySet<string>, isMine: (address: string) => boolean): void => {
    for (const [address, shelf] of this.shelves) {
      if (addresses.has(address)) continue;
      shelf.isStopped = true;
      this.shelves.delete(address);
    }
    for (const address of addresses) {
      const held = this.shelves.get(address);
      const isMineNow = isMine(address);
      if (held !== undefined && held.isStopped !== isMineNow) continue;
      const shelf: Shelf = {
        kept: held?.kept ?? new Map<string, KeptNews>(),
        fresh: [],
        doubted: held?.doubted ?? new Map<string, number>(),
        pairs: held?.pairs ?? new LifePairs(this.clock),
        ids: held?.ids ?? new Set<string>(),
        epoch: '',
        since: 0,
        heardAt: this.clock.now(),
        isHeard: held?.isHeard ?? false,
        isCleared: false,
        isStopped: !isMineNow,
      };
      if (held !== undefined) held.isStopped = true;
      this.shelves.set(address, shelf);
      if (isMineNow) background.run('follow kept prefixes', this.follow(address, shelf, held !== undefined));
    }
  };

  readonly takeRelayed = (bundle: readonly ShelfNews[]): void => {
    const told = bundle.filter(({ address, isWhole, isHeard, news }) => {
      const shelf = this.shelves.get(address);
      if (shelf === undefined || !shelf.isStopped) return false;
      shelf.isHeard = isHeard;
      if (isWhole) shelf.kept.clear();
      for (const one of news) this.note(shelf, one);
      shelf.fresh.length = 0;
      return true;
    });
    if (told.length > 0) this.tell(told);
  };

  private readonly follow = async (address: string, shelf: Shelf, isTakenOver: boolean): Promise<void> => {
    let isFirst = isTakenOver;
    await pause.for(this.clock, this.random.fraction() * paceMs);
    while (!shelf.isStopped) {
      const askedAt = this.clock.now();
      const page = await this.backEnds.keptNews(address, shelf.since, holdMs);
      if (shelf.isStopped) return;
      if (page.isErr()) {
        if (shelf.isHeard && this.clock.now() - shelf.heardAt > unheardMs) this.hush(address, shelf);
        await pause.for(this.clock, faultPauseMs * (0.5 + this.random.fraction()));
        continue;
      }
      const { epoch, next, isLost, news } = page.value;
      const isReborn = shelf.epoch !== '' && shelf.epoch !== epoch;
      if (isReborn || isLost || isFirst) {
        this.log.info('what is kept is known anew', { address, isReborn, isLost, isTakenOver: isFirst });
        isFirst = false;
        if (isReborn) shelf.pairs.isFirstByEpoch();
        this.clear(shelf);
      }
      if (isReborn && shelf.since > 0) {
        Object.assign(shelf, { epoch, since: 0, heardAt: this.clock.now(), isHeard: true });
        this.plan();
        continue;
      }
      const isBack = !shelf.isHeard;
      Object.assign(shelf, { epoch, since: next, heardAt: this.clock.now(), isHeard: true });
      for (const one of news) this.note(shelf, one);
      if (isBack || shelf.isCleared || shelf.fresh.length > 0) this.plan();
      const spentMs = this.clock.now() - askedAt;
      if (spentMs < paceMs) await pause.for(this.clock, (paceMs - spentMs) * (0.9 + 0.2 * this.random.fraction()));
    }
  };

  private readonly note = (shelf: Shelf, news: KeptNews): void => {
    const label = labelOf(news);
    const doubtedAt = shelf.doubted.get(label);
    shelf.doubted.delete(label);
    if (doubtedAt !== undefined && !news.isKept && this.clock.now() - doubtedAt <= doubtMs)
      this.counts.falseAlarms += 1;
    if (news.tokens >= leastTokens) shelf.kept.set(label, news);
    else if (!shelf.kept.delete(label)) return;
    shelf.fresh.push(news);
  };

  private readonly hush = (address: string, shelf: Shelf): void => {
    shelf.isHeard = false;
    this.log.warn('an address has not told what it keeps', { address });
    this.plan();
  };

  private readonly plan = (): void => {
    if (this.isBundling) return;
    this.isBundling = true;
    this.clock.after(bundleMs, this.carry);
  };

  private readonly toldHeard = new Map<string, boolean>();

  private readonly carry = (): void => {
    this.isBundling = false;
    const bundle: ShelfNews[] = [];
    for (const [address, shelf] of this.shelves) {
      if (shelf.isStopped) continue;
      if (!shelf.isCleared && shelf.fresh.length === 0 && this.toldHeard.get(address) === shelf.isHeard) continue;
      bundle.push({
        address,
        isWhole: shelf.isCleared,
        isHeard: shelf.isHeard,
        epoch: shelf.epoch,
        news: shelf.fresh.splice(0),
      });
      shelf.isCleared = false;
      this.toldHeard.set(address, shelf.isHeard);
    }
    for (const address of this.toldHeard.keys()) if (!this.shelves.has(address)) this.toldHeard.delete(address);
    if (bundle.length === 0) return;
    this.tell(bundle);
    this.relay(bundle);
  };

  readonly whole = (): ShelfNews[] =>
    [...this.shelves].map(([address, shelf]) => ({
      address,
      isWhole: true,
      isHeard: shelf.isHeard,
      epoch: shelf.epoch,
      news: [...shelf.kept.values()],
    }));

  readonly followed = (): ShelfNews[] =>
    [...this.shelves]
      .filter(([, shelf]) => !shelf.isStopped && shelf.epoch !== '')
      .map(([address, shelf]) => ({ address, isWhole: true, isHeard: shelf.isHeard, news: [...shelf.kept.values()] }));

  readonly sizes = (): { address: string; parts: number; isHeard: boolean }[] =>
    [...this.shelves].map(([address, shelf]) => ({ address, parts: shelf.kept.size, isHeard: shelf.isHeard }));

  readonly stale = (): Record<string, number> => ({ ...this.counts });

  readonly stop = (): void => this.align(new Set(), () => false);
}
