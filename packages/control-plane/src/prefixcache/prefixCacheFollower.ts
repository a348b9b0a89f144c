/** Follows what replicas and stores keep in their prefix caches, for edges: each address by one control node. */
import { background, IncarnationMatcher, timing } from '@martenworks/core-types';
import type {
  BackendClient,
  Clock,
  PrefixCacheEvent,
  Log,
  CacheMissReport,
  Random,
  PrefixCacheUpdate,
} from '@martenworks/core-types';

const leastTokens = 256;
const holdMs = 1_000;
const paceMs = 400;
const faultPauseMs = 250;
const unheardMs = 1_500;
const bundleMs = 150;
const doubtMs = 60_000;

const labelOf = ({ salt, part }: { salt: string; part: string }): string => `${salt}\n${part}`;

interface StoredPrefixes {
  readonly kept: Map<string, PrefixCacheEvent>;
  readonly fresh: PrefixCacheEvent[];
  readonly doubted: Map<string, number>;
  readonly pairs: IncarnationMatcher;
  ids: ReadonlySet<string>;
  epoch: string;
  since: number;
  heardAt: number;
  isHeard: boolean;
  isCleared: boolean;
  isStopped: boolean;
}

/** Knows what replicas and stores keep. Each address is followed by one control node, which tells its edges and the other control nodes in bundles; parts below 256 tokens are not worth telling. */
export class PrefixCacheFollower {
  private readonly prefixCaches = new Map<string, StoredPrefixes>();
  private readonly counts = { missed: 0, lives: 0, falseAlarms: 0 };
  private isBundling = false;

  constructor(
    private readonly backendClient: BackendClient,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
    private readonly tell: (update: readonly PrefixCacheUpdate[]) => void,
    private readonly relay: (update: readonly PrefixCacheUpdate[]) => void,
  ) {}

  /** The address now has these replicas, by the list, which shows a crashed one for a while. Where its events have not told a new epoch yet, what the one before kept is forgotten at once. */
  readonly lives = (address: string, ids: ReadonlySet<string>): void => {
    const stored = this.prefixCaches.get(address);
    if (stored === undefined) return;
    const isBorn = stored.ids.size > 0 && [...ids].some((id) => !stored.ids.has(id));
    stored.ids = ids;
    if (!isBorn || !stored.pairs.recordNewId()) return;
    this.counts.lives += 1;
    this.clear(stored);
    this.scheduleBundle();
  };

  /** A edge's answers showed that these parts are gone: they come back by fresh events only. */
  readonly missed = ({ address, salt, parts, isDecided }: CacheMissReport): void => {
    const stored = this.prefixCaches.get(address);
    if (stored === undefined || !isDecided) return;
    for (const part of parts) {
      const label = labelOf({ salt, part });
      if (!stored.kept.delete(label)) continue;
      this.counts.missed += 1;
      stored.doubted.set(label, this.clock.now());
      stored.fresh.splice(0, stored.fresh.length, ...stored.fresh.filter((update) => labelOf(update) !== label));
      stored.fresh.push({ isKept: false, salt, part, tokens: 0 });
      this.scheduleBundle();
    }
  };

  private readonly clear = (stored: StoredPrefixes): void => {
    stored.kept.clear();
    stored.doubted.clear();
    stored.fresh.length = 0;
    stored.isCleared = true;
  };

  /** `isMine` says which addresses this node follows; the others it hears of from whoever does. */
  readonly align = (addresses: ReadonlySet<string>, isMine: (address: string) => boolean): void => {
    for (const [address, stored] of this.prefixCaches) {
      if (addresses.has(address)) continue;
      stored.isStopped = true;
      this.prefixCaches.delete(address);
    }
    for (const address of addresses) {
      const held = this.prefixCaches.get(address);
      const isMineNow = isMine(address);
      if (held !== undefined && held.isStopped !== isMineNow) continue;
      const stored: StoredPrefixes = {
        kept: held?.kept ?? new Map<string, PrefixCacheEvent>(),
        fresh: [],
        doubted: held?.doubted ?? new Map<string, number>(),
        pairs: held?.pairs ?? new IncarnationMatcher(this.clock),
        ids: held?.ids ?? new Set<string>(),
        epoch: '',
        since: 0,
        heardAt: this.clock.now(),
        isHeard: held?.isHeard ?? false,
        isCleared: false,
        isStopped: !isMineNow,
      };
      if (held !== undefined) held.isStopped = true;
      this.prefixCaches.set(address, stored);
      if (isMineNow) background.run('follow kept prefixes', this.follow(address, stored, held !== undefined));
    }
  };

  /** Takes in what another control node followed, for addresses that this node does not follow itself. */
  readonly takeRelayed = (bundle: readonly PrefixCacheUpdate[]): void => {
    const accepted = bundle.filter(({ address, isWhole, isHeard, events: update }) => {
      const stored = this.prefixCaches.get(address);
      if (stored === undefined || !stored.isStopped) return false;
      stored.isHeard = isHeard;
      if (isWhole) stored.kept.clear();
      for (const one of update) this.note(stored, one);
      stored.fresh.length = 0;
      return true;
    });
    if (accepted.length > 0) this.tell(accepted);
  };

  private readonly follow = async (address: string, stored: StoredPrefixes, isTakenOver: boolean): Promise<void> => {
    let isFirst = isTakenOver;
    await timing.sleep(this.clock, this.random.fraction() * paceMs);
    while (!stored.isStopped) {
      const askedAt = this.clock.now();
      const page = await this.backendClient.prefixCacheEvents(address, stored.since, holdMs);
      if (stored.isStopped) return;
      if (page.isErr()) {
        if (stored.isHeard && this.clock.now() - stored.heardAt > unheardMs) this.markSilent(address, stored);
        await timing.sleep(this.clock, faultPauseMs * (0.5 + this.random.fraction()));
        continue;
      }
      const { epoch, next, isLost, events: update } = page.value;
      const isReborn = stored.epoch !== '' && stored.epoch !== epoch;
      if (isReborn || isLost || isFirst) {
        this.log.info('prefix cache contents resynchronized', { address, isReborn, isLost, isTakenOver: isFirst });
        isFirst = false;
        if (isReborn) stored.pairs.recordNewEpoch();
        this.clear(stored);
      }
      if (isReborn && stored.since > 0) {
        Object.assign(stored, { epoch, since: 0, heardAt: this.clock.now(), isHeard: true });
        this.scheduleBundle();
        continue;
      }
      const isBack = !stored.isHeard;
      Object.assign(stored, { epoch, since: next, heardAt: this.clock.now(), isHeard: true });
      for (const one of update) this.note(stored, one);
      if (isBack || stored.isCleared || stored.fresh.length > 0) this.scheduleBundle();
      const spentMs = this.clock.now() - askedAt;
      if (spentMs < paceMs) await timing.sleep(this.clock, (paceMs - spentMs) * (0.9 + 0.2 * this.random.fraction()));
    }
  };

  private readonly note = (stored: StoredPrefixes, update: PrefixCacheEvent): void => {
    const label = labelOf(update);
    const doubtedAt = stored.doubted.get(label);
    stored.doubted.delete(label);
    if (doubtedAt !== undefined && !update.isKept && this.clock.now() - doubtedAt <= doubtMs)
      this.counts.falseAlarms += 1;
    if (update.tokens >= leastTokens) stored.kept.set(label, update);
    else if (!stored.kept.delete(label)) return;
    stored.fresh.push(update);
  };

  private readonly markSilent = (address: string, stored: StoredPrefixes): void => {
    stored.isHeard = false;
    this.log.warn('kv-events source is silent', { address });
    this.scheduleBundle();
  };

  private readonly scheduleBundle = (): void => {
    if (this.isBundling) return;
    this.isBundling = true;
    this.clock.after(bundleMs, this.sendBundle);
  };

  private readonly sentHeard = new Map<string, boolean>();

  private readonly sendBundle = (): void => {
    this.isBundling = false;
    const bundle: PrefixCacheUpdate[] = [];
    for (const [address, stored] of this.prefixCaches) {
      if (stored.isStopped) continue;
      if (!stored.isCleared && stored.fresh.length === 0 && this.sentHeard.get(address) === stored.isHeard) continue;
      bundle.push({
        address,
        isWhole: stored.isCleared,
        isHeard: stored.isHeard,
        epoch: stored.epoch,
        events: stored.fresh.splice(0),
      });
      stored.isCleared = false;
      this.sentHeard.set(address, stored.isHeard);
    }
    for (const address of this.sentHeard.keys()) if (!this.prefixCaches.has(address)) this.sentHeard.delete(address);
    if (bundle.length === 0) return;
    this.tell(bundle);
    this.relay(bundle);
  };

  /** All that is known, as updates that replace what the receiver knows. */
  readonly whole = (): PrefixCacheUpdate[] =>
    [...this.prefixCaches].map(([address, stored]) => ({
      address,
      isWhole: true,
      isHeard: stored.isHeard,
      epoch: stored.epoch,
      events: [...stored.kept.values()],
    }));

  /** What this node follows itself, as updates that replace what the receiver knows. */
  readonly followed = (): PrefixCacheUpdate[] =>
    [...this.prefixCaches]
      .filter(([, stored]) => !stored.isStopped && stored.epoch !== '')
      .map(([address, stored]) => ({
        address,
        isWhole: true,
        isHeard: stored.isHeard,
        events: [...stored.kept.values()],
      }));

  /** Number of kept parts for each address, for the status page. */
  readonly sizes = (): { address: string; parts: number; isHeard: boolean }[] =>
    [...this.prefixCaches].map(([address, stored]) => ({ address, parts: stored.kept.size, isHeard: stored.isHeard }));

  /** Counters of detected stale entries, for the status page. */
  readonly stale = (): Record<string, number> => ({ ...this.counts });

  /** Ends the following of all addresses. */
  readonly stop = (): void => this.align(new Set(), () => false);
}
