/** Tracks the prefix cache contents of replicas and stores for edges. Each address is followed by one control node. */
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

const minTokens = 256;
const longPollMs = 1_000;
const pollIntervalMs = 400;
const errorBackoffMs = 250;
const contactTimeoutMs = 1_500;
const batchDelayMs = 150;
const falseAlarmWindowMs = 60_000;

const keyOf = ({ salt, part }: { salt: string; part: string }): string => `${salt}\n${part}`;

/** What is known of the prefix cache at one address, and the progress of following it. */
interface CacheContents {
  readonly entries: Map<string, PrefixCacheEvent>;
  /** Changes that are not sent in a batch yet. */
  readonly unsent: PrefixCacheEvent[];
  readonly reportedMissingAt: Map<string, number>;
  readonly incarnations: IncarnationMatcher;
  replicaIds: ReadonlySet<string>;
  epoch: string;
  since: number;
  lastReceivedAt: number;
  isReachable: boolean;
  /** The entries were cleared since the last batch, so that the next one replaces those of the receivers. */
  isCleared: boolean;
  /** This node does not follow the address itself. */
  isStopped: boolean;
}

/**
 * Follows the addresses assigned to this node, and sends their updates in batches to edges and the other control nodes.
 * Prompt parts below 256 tokens are left out.
 */
export class PrefixCacheFollower {
  private readonly prefixCaches = new Map<string, CacheContents>();
  private readonly counts = { missed: 0, lives: 0, falseAlarms: 0 };
  private isBatchScheduled = false;

  constructor(
    private readonly backendClient: BackendClient,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
    private readonly sendToEdges: (batch: readonly PrefixCacheUpdate[]) => void,
    private readonly sendToPeers: (batch: readonly PrefixCacheUpdate[]) => void,
  ) {}

  /**
   * Updates the ids of the replicas that the endpoint list shows at an address; a crashed replica stays listed for a
   * while. If a new id appears before the cache events show a new epoch, the previous replica's contents are discarded
   * at once.
   */
  readonly updateReplicaIds = (address: string, ids: ReadonlySet<string>): void => {
    const contents = this.prefixCaches.get(address);
    if (contents === undefined) return;
    const hasNewId = contents.replicaIds.size > 0 && [...ids].some((id) => !contents.replicaIds.has(id));
    contents.replicaIds = ids;
    if (!hasNewId || !contents.incarnations.recordNewId()) return;
    this.counts.lives += 1;
    this.clear(contents);
    this.scheduleBatch();
  };

  /** Removes prompt parts that responses through an edge showed to be missing; only new events can add them again. */
  readonly handleCacheMiss = ({ address, salt, parts, isDecided }: CacheMissReport): void => {
    const contents = this.prefixCaches.get(address);
    if (contents === undefined || !isDecided) return;
    for (const part of parts) {
      const key = keyOf({ salt, part });
      if (!contents.entries.delete(key)) continue;
      this.counts.missed += 1;
      contents.reportedMissingAt.set(key, this.clock.now());
      contents.unsent.splice(0, contents.unsent.length, ...contents.unsent.filter((event) => keyOf(event) !== key));
      contents.unsent.push({ isKept: false, salt, part, tokens: 0 });
      this.scheduleBatch();
    }
  };

  private readonly clear = (contents: CacheContents): void => {
    contents.entries.clear();
    contents.reportedMissingAt.clear();
    contents.unsent.length = 0;
    contents.isCleared = true;
  };

  /**
   * Tracks exactly these addresses. This node follows those for which `isAssigned` is true, and receives the updates of
   * the others from the nodes that follow them.
   */
  readonly reconcile = (addresses: ReadonlySet<string>, isAssigned: (address: string) => boolean): void => {
    for (const [address, contents] of this.prefixCaches) {
      if (addresses.has(address)) continue;
      contents.isStopped = true;
      this.prefixCaches.delete(address);
    }
    for (const address of addresses) {
      const previous = this.prefixCaches.get(address);
      const isFollowed = isAssigned(address);
      if (previous !== undefined && previous.isStopped !== isFollowed) continue;
      const contents: CacheContents = {
        entries: previous?.entries ?? new Map<string, PrefixCacheEvent>(),
        unsent: [],
        reportedMissingAt: previous?.reportedMissingAt ?? new Map<string, number>(),
        incarnations: previous?.incarnations ?? new IncarnationMatcher(this.clock),
        replicaIds: previous?.replicaIds ?? new Set<string>(),
        epoch: '',
        since: 0,
        lastReceivedAt: this.clock.now(),
        isReachable: previous?.isReachable ?? false,
        isCleared: false,
        isStopped: !isFollowed,
      };
      if (previous !== undefined) previous.isStopped = true;
      this.prefixCaches.set(address, contents);
      if (isFollowed)
        background.run('follow prefix cache events', this.follow(address, contents, previous !== undefined));
    }
  };

  /** Applies updates from another control node to the addresses that this node does not follow itself. */
  readonly applyRelayed = (batch: readonly PrefixCacheUpdate[]): void => {
    const accepted = batch.filter(({ address, isWhole, isHeard, events }) => {
      const contents = this.prefixCaches.get(address);
      if (contents === undefined || !contents.isStopped) return false;
      contents.isReachable = isHeard;
      if (isWhole) contents.entries.clear();
      for (const event of events) this.applyEvent(contents, event);
      contents.unsent.length = 0;
      return true;
    });
    if (accepted.length > 0) this.sendToEdges(accepted);
  };

  private readonly follow = async (address: string, contents: CacheContents, isTakenOver: boolean): Promise<void> => {
    let isFirstAfterTakeover = isTakenOver;
    await timing.sleep(this.clock, this.random.fraction() * pollIntervalMs);
    while (!contents.isStopped) {
      const requestedAt = this.clock.now();
      const page = await this.backendClient.prefixCacheEvents(address, contents.since, longPollMs);
      if (contents.isStopped) return;
      if (page.isErr()) {
        if (contents.isReachable && this.clock.now() - contents.lastReceivedAt > contactTimeoutMs)
          this.markUnreachable(address, contents);
        await timing.sleep(this.clock, errorBackoffMs * (0.5 + this.random.fraction()));
        continue;
      }
      const { epoch, next, isLost, events } = page.value;
      const hasNewEpoch = contents.epoch !== '' && contents.epoch !== epoch;
      if (hasNewEpoch || isLost || isFirstAfterTakeover) {
        this.log.info('prefix cache contents resynchronized', {
          address,
          isReborn: hasNewEpoch,
          isLost,
          isTakenOver: isFirstAfterTakeover,
        });
        isFirstAfterTakeover = false;
        if (hasNewEpoch) contents.incarnations.recordNewEpoch();
        this.clear(contents);
      }
      if (hasNewEpoch && contents.since > 0) {
        Object.assign(contents, { epoch, since: 0, lastReceivedAt: this.clock.now(), isReachable: true });
        this.scheduleBatch();
        continue;
      }
      const hasRecovered = !contents.isReachable;
      Object.assign(contents, { epoch, since: next, lastReceivedAt: this.clock.now(), isReachable: true });
      for (const event of events) this.applyEvent(contents, event);
      if (hasRecovered || contents.isCleared || contents.unsent.length > 0) this.scheduleBatch();
      const elapsedMs = this.clock.now() - requestedAt;
      if (elapsedMs < pollIntervalMs)
        await timing.sleep(this.clock, (pollIntervalMs - elapsedMs) * (0.9 + 0.2 * this.random.fraction()));
    }
  };

  private readonly applyEvent = (contents: CacheContents, event: PrefixCacheEvent): void => {
    const key = keyOf(event);
    const missingSince = contents.reportedMissingAt.get(key);
    contents.reportedMissingAt.delete(key);
    if (missingSince !== undefined && !event.isKept && this.clock.now() - missingSince <= falseAlarmWindowMs)
      this.counts.falseAlarms += 1;
    if (event.tokens >= minTokens) contents.entries.set(key, event);
    else if (!contents.entries.delete(key)) return;
    contents.unsent.push(event);
  };

  private readonly markUnreachable = (address: string, contents: CacheContents): void => {
    contents.isReachable = false;
    this.log.warn('kv-events source is silent', { address });
    this.scheduleBatch();
  };

  private readonly scheduleBatch = (): void => {
    if (this.isBatchScheduled) return;
    this.isBatchScheduled = true;
    this.clock.after(batchDelayMs, this.sendBatch);
  };

  private readonly sentReachable = new Map<string, boolean>();

  private readonly sendBatch = (): void => {
    this.isBatchScheduled = false;
    const batch: PrefixCacheUpdate[] = [];
    for (const [address, contents] of this.prefixCaches) {
      if (contents.isStopped) continue;
      if (
        !contents.isCleared &&
        contents.unsent.length === 0 &&
        this.sentReachable.get(address) === contents.isReachable
      )
        continue;
      batch.push({
        address,
        isWhole: contents.isCleared,
        isHeard: contents.isReachable,
        epoch: contents.epoch,
        events: contents.unsent.splice(0),
      });
      contents.isCleared = false;
      this.sentReachable.set(address, contents.isReachable);
    }
    for (const address of this.sentReachable.keys())
      if (!this.prefixCaches.has(address)) this.sentReachable.delete(address);
    if (batch.length === 0) return;
    this.sendToEdges(batch);
    this.sendToPeers(batch);
  };

  /** Returns the contents of all addresses, as updates that replace the receiver's entries. */
  readonly snapshot = (): PrefixCacheUpdate[] =>
    [...this.prefixCaches].map(([address, contents]) => ({
      address,
      isWhole: true,
      isHeard: contents.isReachable,
      epoch: contents.epoch,
      events: [...contents.entries.values()],
    }));

  /** Returns the contents of the addresses that this node follows, as updates that replace the receiver's entries. */
  readonly followedSnapshot = (): PrefixCacheUpdate[] =>
    [...this.prefixCaches]
      .filter(([, contents]) => !contents.isStopped && contents.epoch !== '')
      .map(([address, contents]) => ({
        address,
        isWhole: true,
        isHeard: contents.isReachable,
        events: [...contents.entries.values()],
      }));

  /** Returns the number of cached prompt parts of each address, for the status page. */
  readonly sizes = (): { address: string; parts: number; isHeard: boolean }[] =>
    [...this.prefixCaches].map(([address, contents]) => ({
      address,
      parts: contents.entries.size,
      isHeard: contents.isReachable,
    }));

  /** Returns counters of detected stale entries, for the status page. */
  readonly staleEntryCounts = (): Record<string, number> => ({ ...this.counts });

  /** Stops following all addresses. */
  readonly stop = (): void => this.reconcile(new Set(), () => false);
}
