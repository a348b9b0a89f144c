/** Wires the parts of an edge: ingress, replica selection, forwarding and control connection. */
import type { Result } from 'neverthrow';
import { background, MetricCounters, RepeatingTimer } from '@martenworks/core-types';
import type {
  EndpointListUpdate,
  NetworkError,
  Ports,
  PrefillNotice,
  EdgeState,
  HeaderCodec,
} from '@martenworks/core-types';
import type { NodeSettings } from '@martenworks/settings';
import { processLimits } from '@martenworks/server-limits';
import { RoutingTableIndexer } from '@martenworks/route-table';
import type { RoutingTableView } from '@martenworks/route-table';
import type { AdmissionError } from './errors.js';
import type { Call } from './ingress/call.js';
import { ingressDrain } from './ingress/ingressDrain.js';
import { rejectionWriter } from './ingress/rejectionWriter.js';
import { RequestAdmission } from './ingress/requestAdmission.js';
import { StaleEntryEviction } from './prefixcache/staleEntryEviction.js';
import { WeightsTargets } from './routing/weightsTargets.js';
import { IngressServer } from './ingress/ingressServer.js';
import { ControlConnection } from './control/controlConnection.js';
import { RetryBudget } from './forwarding/retryBudget.js';
import type { Admission, EdgeContext } from './edgeContext.js';
import { ForwardedRequest } from './forwarding/forwardedRequest.js';
import { ReplicaTracker } from './routing/replicaTracker.js';
import { PrefixCacheIndex } from './prefixcache/prefixCacheIndex.js';
import { StaleEntryDetector } from './prefixcache/staleEntryDetector.js';
import type { ResponseTiming } from './prefixcache/staleEntryDetector.js';
import { ReplicaSelector } from './routing/replicaSelector.js';
import type { Placement, PlacementQuery } from './routing/placement.js';

const connectionLimitShare = 0.8;
const defaultConnectionLimit = 64;
const metricsIntervalMs = 10_000;

/** An edge: accepts callers' requests, places each one and relays the replica's response. */
export class EdgeProxy implements EdgeContext {
  readonly replicaTracker: ReplicaTracker;
  readonly prefixCaches: PrefixCacheIndex;
  /** Decides when response times have contradicted an entry of the prefix index often enough to evict it. */
  readonly staleEntryDetector: StaleEntryDetector;
  readonly retryBudget: RetryBudget;
  readonly control: ControlConnection;
  /** The server that callers connect to; unused where another HTTP server passes requests to `serve`. */
  readonly ingress: IngressServer;
  readonly metrics = new MetricCounters();
  /** Requests that are admitted and not yet finished. */
  readonly inFlightRequests = new Set<ForwardedRequest>();
  private readonly replicaSelector: ReplicaSelector;
  private readonly prefillIdPrefix: string;
  private readonly metricsTimer: RepeatingTimer;
  private readonly tableIndexer = new RoutingTableIndexer();
  readonly weightsTargets: WeightsTargets;
  private readonly staleEntryEviction: StaleEntryEviction;
  private readonly admission: RequestAdmission;
  private view: RoutingTableView | null = null;
  private hasEndpoints = false;
  isClosing = false;

  constructor(
    /** Settings of this node, validated at its start; they don't change while it runs. */
    readonly settings: NodeSettings,
    readonly ports: Ports,
    readonly headerCodec: HeaderCodec,
    seeds: readonly string[],
  ) {
    const { clock, random } = ports;
    this.prefillIdPrefix = `${random.token(4)}-`;
    this.replicaTracker = new ReplicaTracker(clock);
    this.prefixCaches = new PrefixCacheIndex(clock);
    this.staleEntryDetector = new StaleEntryDetector(clock);
    this.control = new ControlConnection(settings, ports, random.token(8), seeds, {
      onState: this.applyState,
      onEndpoints: this.applyEndpoints,
      onWeights: this.replicaTracker.applyWeights,
      onPrefixCaches: this.prefixCaches.apply,
      onPrefillNotices: (notices) => notices.forEach(this.applyPrefillNotice),
      onCacheMiss: (report) => this.staleEntryEviction.applyReport(report),
      isReady: () => this.isReady(),
    });
    this.retryBudget = new RetryBudget(
      clock,
      { ratio: settings.retryBudgetRatio, windowMs: settings.retryBudgetWindowMs, slack: settings.retryBudgetSlack },
      this.control.edgeCount,
    );
    this.weightsTargets = new WeightsTargets(clock, settings.versionMs);
    this.staleEntryEviction = new StaleEntryEviction({
      isEnabled: settings.detectsStaleEntries,
      detector: this.staleEntryDetector,
      prefixCaches: this.prefixCaches,
      metrics: this.metrics,
      log: ports.log,
      report: this.control.reportCacheMiss,
    });
    this.admission = new RequestAdmission(headerCodec, random, this.confirmedView, () => this.view);
    this.replicaSelector = new ReplicaSelector(this.replicaTracker, this.prefixCaches, clock, this.weightsTargets);
    this.metricsTimer = new RepeatingTimer(
      clock,
      () => metricsIntervalMs,
      () => ports.log.info('metrics', this.metrics.all()),
    );
    this.ingress = new IngressServer({
      onCall: (call) => background.run('serve a request', this.serve(call)),
      isClosing: () => this.isClosing,
      now: clock.now,
      limits: processLimits.of(settings),
      onAcceptError: (code) => ports.log.warn('connection not accepted', { code }),
    });
  }

  /** Applies changes of the endpoint list, or a complete list. */
  readonly applyEndpoints = (update: EndpointListUpdate): void => {
    this.hasEndpoints = true;
    const { changedAddresses, vacatedAddresses } = this.replicaTracker.applyEndpoints(update);
    if (!this.settings.detectsStaleEntries) return;
    for (const address of changedAddresses) {
      this.prefixCaches.onIncarnationChange(address);
      this.staleEntryDetector.onIncarnationChange(address);
    }
    for (const address of vacatedAddresses)
      if (!this.isCacheStore(address)) this.prefixCaches.onAddressVacated(address);
  };

  private readonly isCacheStore = (address: string): boolean =>
    this.view?.routingTable.stores.some((store) => store.address === address) === true;

  private readonly applyPrefillNotice = (update: PrefillNotice): void => {
    if (update.id.startsWith(this.prefillIdPrefix)) return;
    this.replicaTracker.applyPrefillNotice(update);
    const address = this.replicaTracker.addressOf(update.replica);
    if (update.tokens > 0 && address !== null && update.salt !== null && update.part !== null)
      this.prefixCaches.recordPrefill(address, update.salt, update.part);
  };

  private prefillCount = 0;

  readonly nextPrefillId = (): string => `${this.prefillIdPrefix}${(++this.prefillCount).toString(36)}`;

  /**
   * Applies a committed state received from a control node; the routing table of a configuration version already applied
   * is ignored.
   */
  readonly applyState = (update: EdgeState): void => {
    for (const target of this.weightsTargets.apply(update.weightsAges))
      this.ports.log.info('weights target announced', { ...target, logIndex: update.logIndex });
    if (update.table === null || this.view?.configVersion === update.configVersion) return;
    this.view = this.tableIndexer.view(update.configVersion, update.table);
    this.ingress.applyLimits(update.table.limits);
    this.ports.log.info('configuration version applied', {
      configVersion: update.configVersion,
      logIndex: update.logIndex,
    });
  };

  /**
   * Whether the edge may be sent requests: it has a routing table and an endpoint list, isn't draining, and a majority of
   * control nodes was confirmed alive within `controlLossTimeoutMs` where that is set.
   */
  readonly isReady = (): boolean => !this.isClosing && this.view !== null && this.hasEndpoints && !this.isControlLost();

  private readonly confirmedView = (): RoutingTableView | null =>
    this.hasEndpoints && !this.isControlLost() ? this.view : null;

  private readonly isControlLost = (): boolean =>
    this.settings.controlLossTimeoutMs !== null &&
    this.control.majorityContactAgeMs() > this.settings.controlLossTimeoutMs;

  private readonly connectionLimit = (pool: string): number => {
    const limit = this.view?.pool(pool)?.connectionLimit ?? null;
    return limit === null
      ? defaultConnectionLimit
      : Math.max(1, Math.floor((limit * connectionLimitShare) / this.control.edgeCount()));
  };

  readonly place = (query: PlacementQuery): Placement | null =>
    this.view === null ? null : this.replicaSelector.place(query, this.view, this.connectionLimit(query.pool));

  readonly hasUntriedReplica = (pool: string, avoided: ReadonlySet<string>): boolean =>
    this.replicaTracker
      .inPool(pool)
      .some((tracked) => !tracked.endpoint.isLeaving && !avoided.has(tracked.endpoint.id));

  /** Whether the admission of a request is still valid. */
  readonly isStillAdmitted = (admission: Admission): boolean => this.admission.isStillAdmitted(admission);

  readonly reject = (call: Call, status: number, message: string, retryAfterMs: number | null): void =>
    rejectionWriter.write(this.headerCodec, call, { status, message, retryAfterMs, closesConnection: false });

  /** Serves one call, from the ingress server or another HTTP server. */
  readonly serve = async (call: Call): Promise<void> => {
    const admitted = await this.admission.admit(call);
    if (admitted.isOk()) await this.forward(admitted.value);
    else if (admitted.error.code !== 'CALLER_GONE') this.refuse(call, admitted.error);
  };

  private readonly refuse = (call: Call, error: AdmissionError): void => {
    this.metrics.add(`refused_${error.code.toLowerCase()}`);
    rejectionWriter.write(this.headerCodec, call, error);
  };

  private readonly forward = async (admission: Admission): Promise<void> => {
    const request = new ForwardedRequest(this, admission);
    this.inFlightRequests.add(request);
    try {
      await request.run();
    } finally {
      this.inFlightRequests.delete(request);
    }
  };

  /** Checks the time to a response's first chunk against the prefix index; returns true if it contradicts the index. */
  readonly checkExpectedHit = (timing: ResponseTiming, elapsedMs: number): boolean =>
    this.staleEntryEviction.checkExpectedHit(timing, elapsedMs);

  /** Listens on the configured address; fails with the system's network error, for example `EADDRINUSE`. */
  readonly open = (): Promise<Result<void, NetworkError>> => this.ingress.open(this.settings.http);

  /** Stops accepting connections after a while and lets running requests finish, within `drainMs` milliseconds. */
  readonly drain = (): Promise<void> => {
    this.isClosing = true;
    return ingressDrain.run(
      this.ports.clock,
      this.ingress,
      this.settings.drainMs,
      () => this.inFlightRequests.size === 0,
    );
  };

  /** The state of this edge for the operators' pages, as JSON. */
  readonly status = (): Record<string, unknown> => ({
    name: this.settings.name,
    zone: this.settings.zone,
    isReady: this.isReady(),
    configVersion: this.view?.configVersion ?? null,
    live: this.inFlightRequests.size,
    ingress: this.ingress.status(),
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

  /**
   * Stops immediately: timers, connections to control nodes and connections of callers. To let requests finish first,
   * call `drain` before.
   */
  readonly stop = (): void => {
    this.metricsTimer.stop();
    this.control.stop();
    this.ingress.destroy();
  };
}
