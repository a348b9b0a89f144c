import type { Result } from 'neverthrow';
import { background, RepeatingTimer, keys } from '@martenworks/core-types';
import type {
  EndpointListUpdate,
  Customer,
  CacheMissReport,
  NetworkError,
  Ports,
  PrefillNotice,
  EdgeState,
  HeaderCodec,
} from '@martenworks/core-types';
import type { NodeSettings } from '@martenworks/settings';
import { RoutingTableIndexer, shares } from '@martenworks/route-table';
import type { RoutingTableView, RouteView } from '@martenworks/route-table';
import type { Call } from './ingress/call.js';
import { IngressServer } from './ingress/ingressServer.js';
import { ControlConnection } from './control/controlConnection.js';
import { RetryBudget } from './forwarding/retryBudget.js';
import type { Admission, EdgeContext } from './edgeContext.js';
import { ForwardedRequest } from './forwarding/forwardedRequest.js';
import { ReplicaTracker } from './routing/replicaTracker.js';
import { PrefixCacheIndex } from './prefixcache/prefixCacheIndex.js';
import { StaleEntryDetector } from './prefixcache/staleEntryDetector.js';
import type { AnswerTiming } from './prefixcache/staleEntryDetector.js';
import { MetricCounters } from './metricCounters.js';
import { ReplicaSelector } from './routing/replicaSelector.js';
import type { WeightsTarget, Placement, PlacementQuery } from './routing/placement.js';

const connectionShare = 0.8;
const usualConnections = 64;
const readyWaitMs = 250;
const openDrainMs = 2_600;
const lastDrainMs = 700;
const drainStepMs = 50;
const versionShare = 0.8;
const agesKept = 8;
const metricsIntervalMs = 10_000;

interface VersionSince {
  readonly version: number;
  readonly at: number;
}

/** A edge on the opaque path: takes callers' requests, places each, and passes what the replica answers. */
export class EdgeProxy implements EdgeContext {
  readonly replicaTracker: ReplicaTracker;
  readonly prefixCaches: PrefixCacheIndex;
  readonly staleEntryDetector: StaleEntryDetector;
  readonly budget: RetryBudget;
  readonly control: ControlConnection;
  readonly ingress: IngressServer;
  readonly metrics = new MetricCounters();
  readonly live = new Set<ForwardedRequest>();
  private readonly replicaSelector: ReplicaSelector;
  private readonly prefillIdPrefix: string;
  private readonly metricsTimer: RepeatingTimer;
  private readonly tableIndexer = new RoutingTableIndexer();
  private readonly weightsTargets = new Map<string, readonly VersionSince[]>();
  private view: RoutingTableView | null = null;
  private hasEndpoints = false;
  isClosing = false;

  constructor(
    readonly settings: NodeSettings,
    readonly ports: Ports,
    readonly wire: HeaderCodec,
    seeds: readonly string[],
  ) {
    const { clock, random } = ports;
    this.prefillIdPrefix = `${random.token(4)}-`;
    this.replicaTracker = new ReplicaTracker(clock);
    this.prefixCaches = new PrefixCacheIndex(clock);
    this.staleEntryDetector = new StaleEntryDetector(clock);
    this.control = new ControlConnection(settings, ports, random.token(8), seeds, {
      state: this.takeState,
      endpoints: this.takeEndpoints,
      weights: this.replicaTracker.takeWeights,
      prefixCaches: this.prefixCaches.take,
      reading: (bundle) => bundle.forEach(this.takeReading),
      missed: (update) => {
        if (!settings.detectsStaleEntries) return;
        this.staleEntryDetector.hear(update);
        if (!update.isDecided) return;
        this.metrics.add('stale_told');
        this.drop(update);
      },
      isReady: () => this.isReady(),
    });
    this.budget = new RetryBudget(
      clock,
      { ratio: settings.retryBudgetRatio, windowMs: settings.retryBudgetWindowMs, slack: settings.retryBudgetSlack },
      this.control.edgeCount,
    );
    this.replicaSelector = new ReplicaSelector(
      this.replicaTracker,
      this.prefixCaches,
      clock,
      this.weightsTargetOf,
      settings.versionMs * versionShare,
    );
    this.metricsTimer = new RepeatingTimer(
      clock,
      () => metricsIntervalMs,
      () => ports.log.info('metrics', this.metrics.all()),
    );
    this.ingress = new IngressServer({
      onCall: (call) => background.run('serve a request', this.receive(call)),
      isClosing: () => this.isClosing,
    });
  }

  /** Takes what changed in the list of replicas, or the whole list. */
  readonly takeEndpoints = (update: EndpointListUpdate): void => {
    this.hasEndpoints = true;
    const { born, left } = this.replicaTracker.take(update);
    if (!this.settings.detectsStaleEntries) return;
    for (const address of born) {
      this.prefixCaches.bornAt(address);
      this.staleEntryDetector.bornAt(address);
    }
    for (const address of left)
      if (this.view?.routingTable.stores.some((store) => store.address === address) !== true)
        this.prefixCaches.leftAt(address);
  };

  private readonly takeReading = (update: PrefillNotice): void => {
    if (update.id.startsWith(this.prefillIdPrefix)) return;
    this.replicaTracker.takeReading(update);
    const address = this.replicaTracker.addressOf(update.replica);
    if (update.tokens > 0 && address !== null && update.salt !== null && update.part !== null)
      this.prefixCaches.reads(address, update.salt, update.part);
  };

  private readings = 0;

  readonly readingId = (): string => `${this.prefillIdPrefix}${(++this.readings).toString(36)}`;

  /** Takes the state in force as a control node tells it; an configuration version that is held already changes nothing. */
  readonly takeState = (update: EdgeState): void => {
    const now = this.ports.clock.now();
    for (const [model, ages] of Object.entries(update.weightsAges)) {
      const held = this.weightsTargets.get(model) ?? [];
      const fresh = ages
        .filter(({ version }) => !held.some((one) => one.version === version))
        .map(({ version, msAgo }) => ({ version, at: now - msAgo }));
      this.weightsTargets.set(model, [...held, ...fresh].sort((a, b) => a.version - b.version).slice(-agesKept));
    }
    if (update.table === null || this.view?.configVersion === update.configVersion) return;
    this.view = this.tableIndexer.view(update.configVersion, update.table);
    this.ingress.limit(update.table.limits);
    this.ports.log.info('configuration version applied', {
      configVersion: update.configVersion,
      logIndex: update.logIndex,
    });
  };

  private readonly weightsTargetOf = (model: string): WeightsTarget | null => {
    const now = this.ports.clock.now();
    const [newest, ...earlier] = (this.weightsTargets.get(model) ?? [])
      .map(({ version, at }) => ({ version, sinceMs: now - at }))
      .reverse();
    return newest === undefined ? null : { ...newest, earlier };
  };

  readonly isReady = (): boolean => !this.isClosing && this.view !== null && this.hasEndpoints && !this.isUnheard();

  private readonly isUnheard = (): boolean =>
    this.settings.controlLossTimeoutMs !== null && this.control.unheardMs() > this.settings.controlLossTimeoutMs;

  private readonly connections = (pool: string): number => {
    const limit = this.view?.pool(pool)?.connectionLimit ?? null;
    return limit === null
      ? usualConnections
      : Math.max(1, Math.floor((limit * connectionShare) / this.control.edgeCount()));
  };

  readonly place = (question: PlacementQuery): Placement | null =>
    this.view === null ? null : this.replicaSelector.place(question, this.view, this.connections(question.pool));

  readonly isAnyOpen = (pool: string, avoided: ReadonlySet<string>): boolean =>
    this.replicaTracker
      .inPool(pool)
      .some((tracked) => !tracked.endpoint.isLeaving && !avoided.has(tracked.endpoint.id));

  private readonly pathOf = (target: string): string => {
    const end = target.search(/[?#]/);
    return end < 0 ? target : target.slice(0, end);
  };

  private readonly standingOf = (
    call: Call,
    keyHash: string | null,
  ): { view: RouteView; customer: Customer | null } | { status: number; message: string } => {
    const view = this.view?.match(call.host, this.pathOf(call.target)) ?? null;
    if (this.view === null || view === null) return { status: 404, message: 'no way leads there' };
    const customer = keyHash === null ? null : this.view.holderOf(keyHash);
    if (customer === null && this.view.isKeyed && !view.route.isPublic)
      return { status: 401, message: 'the key is not granted' };
    return { view, customer };
  };

  /** Whether what a request was admitted by still holds: its way, the key it came with, that key's holder and what the holder may share. */
  readonly isStanding = ({ call, view, customer, keyHash }: Admission): boolean => {
    const now = this.standingOf(call, keyHash);
    if ('status' in now || now.view.route.name !== view.route.name) return false;
    if (now.customer?.name !== customer?.name || now.customer?.isIsolated !== customer?.isIsolated) return false;
    return (now.view.mayRepeat || !view.mayRepeat) && (now.view.route.isResumable || !view.route.isResumable);
  };

  readonly reject = (call: Call, status: number, message: string, comeBackMs: number | null, isLast = false): void => {
    const bytes = Buffer.from(this.wire.rejectionBody(message), 'utf8');
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(bytes.length)];
    if (comeBackMs !== null) headers.push('Retry-After', (comeBackMs / 1_000).toFixed(2));
    const reply = call.answer(status, headers, isLast);
    if (call.method !== 'HEAD') background.run('write a response body', reply.write(bytes));
    reply.end();
  };

  /** Answers one call; the door hands it over, or whoever stands in for the door. */
  readonly receive = async (call: Call): Promise<void> => {
    const { view } = this;
    if (view === null || !this.hasEndpoints || this.isUnheard())
      return this.reject(call, 503, 'this front does not know yet what is in force', readyWaitMs);
    const { limits } = view.routingTable;
    if (call.headerBytes > limits.headerBytes) return this.reject(call, 431, 'the headers are too large', null, true);
    const order = this.wire.order(call.headers);
    if (order.isErr()) return this.reject(call, 400, order.error, null);
    const keyHash = order.value.key === null ? null : keys.hash(order.value.key);
    const standing = this.standingOf(call, keyHash);
    if ('status' in standing) return this.reject(call, standing.status, standing.message, null);
    const body = await call.body(limits.bodyBytes);
    if (body.isErr())
      return body.error === 'too large' ? this.reject(call, 413, 'the body is too large', null, true) : undefined;
    const again = this.standingOf(call, keyHash);
    if ('status' in again) return this.reject(call, again.status, again.message, null);
    const { view: routeView, customer } = again;
    const pool = shares.draw(routeView.route, this.ports.random.fraction());
    await this.forward({ call, order: order.value, keyHash, view: routeView, customer, pool, body: body.value });
  };

  private readonly forward = async (admission: Admission): Promise<void> => {
    const request = new ForwardedRequest(this, admission);
    this.live.add(request);
    try {
      await request.run();
    } finally {
      this.live.delete(request);
    }
  };

  private readonly drop = ({ address, salt, parts, quarantineMs }: CacheMissReport): void => {
    for (const part of parts) {
      this.prefixCaches.missed(address, salt, part);
      if (quarantineMs !== null) this.prefixCaches.quarantine(address, salt, part, quarantineMs);
    }
  };

  /** An answer's first piece against what the index said of the prompt; true where it speaks against it. */
  readonly compare = (timing: AnswerTiming, spentMs: number): boolean => {
    if (!this.settings.detectsStaleEntries) return false;
    const { address, salt, parts, pullMs, tokens } = timing.expectedHit;
    const decision = this.staleEntryDetector.take(timing, spentMs);
    if (decision.kind === 'none') return false;
    this.metrics.add(pullMs === null ? 'stale_strikes' : 'stale_pull_strikes');
    const update: CacheMissReport = {
      address,
      salt,
      parts,
      isDecided: decision.kind === 'drop',
      quarantineMs: decision.kind === 'drop' ? decision.quarantineMs : null,
    };
    this.control.tellMissed(update);
    if (decision.kind === 'strike') return true;
    this.metrics.add(decision.quarantineMs === null ? 'stale_drops' : 'stale_bars');
    this.ports.log.info('dropped stale prefix cache entries', {
      address,
      salt,
      parts,
      tokens,
      isPull: pullMs !== null,
      spentMs: Math.round(spentMs),
      quarantineMs: decision.quarantineMs,
    });
    this.drop(update);
    return true;
  };

  readonly open = (): Promise<Result<void, NetworkError>> => this.ingress.open(this.settings.http);

  /** Takes no new connections after a while, finishes what runs, within `drainMs`. */
  readonly drain = async (): Promise<void> => {
    const { clock } = this.ports;
    const startedAt = clock.now();
    const step = (): Promise<void> => new Promise((wake) => void clock.after(drainStepMs, wake));
    this.isClosing = true;
    while (clock.now() - startedAt < Math.min(openDrainMs, this.settings.drainMs / 2)) await step();
    this.ingress.shut();
    while (clock.now() - startedAt < this.settings.drainMs - lastDrainMs) {
      this.ingress.closeIdle();
      if (this.live.size === 0 && (await this.ingress.isEmpty())) return;
      await step();
    }
  };

  readonly status = (): Record<string, unknown> => ({
    name: this.settings.name,
    zone: this.settings.zone,
    isReady: this.isReady(),
    configVersion: this.view?.configVersion ?? null,
    live: this.live.size,
    metrics: this.metrics.all(),
    control: this.control.status(),
    replicas: this.replicaTracker.all().map(({ endpoint, running, pendingTokens }) => ({
      id: endpoint.id,
      pool: endpoint.pool,
      isLeaving: endpoint.isLeaving,
      weights: endpoint.weights,
      running,
      pendingTokens,
    })),
    prefixCaches: this.prefixCaches.sizes(),
    stale: { isOn: this.settings.detectsStaleEntries, ...this.staleEntryDetector.status() },
  });

  readonly stop = (): void => {
    this.metricsTimer.stop();
    this.control.stop();
    this.ingress.destroy();
  };
}
