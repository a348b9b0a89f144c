/** The gateway: takes callers' requests and has replicas run them. This module assembles its parts. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background, MetricCounters, timing } from '@martenworks/core-types';
import type { Listener, Member, NetworkError, Ports } from '@martenworks/core-types';
import type { GatewaySettings } from '@martenworks/settings';
import { peerConnections, hellos } from '@martenworks/peer-transport';
import type { Hello } from '@martenworks/peer-transport';
import { PeerPool, MemberList, FailureDetector } from '@martenworks/cluster-membership';
import { Claims } from './claims/claims.js';
import { ControlReporter } from './peers/controlReporter.js';
import type { GatewayContext } from './gatewayContext.js';
import { GatewayRequest } from './gatewayRequest.js';
import type { CompletionRequest, GatewayResponse } from './gatewayRequest.js';
import { IsolationAdmission } from './peers/isolationAdmission.js';
import { peerMessageHandlers } from './peers/peerMessageHandlers.js';
import { Stages } from './pipeline/stages.js';
import { ReplicaTracker } from './replicas/replicaTracker.js';
import { Freshness } from './state/freshness.js';
import { StateView } from './state/stateView.js';

const incarnationBytes = 8;
const drainPollIntervalMs = 50;

/** One gateway process, as its other modules and its pages see it. */
export class Gateway implements GatewayContext {
  /** Random id of this run of the process. */
  readonly incarnation: string;
  /** Nodes known by gossip. */
  readonly memberList: MemberList;
  /** Held connections to other nodes. */
  readonly peerPool: PeerPool;
  /** Watches other nodes by heartbeats. */
  readonly failureDetector: FailureDetector;
  /** The committed state as this gateway holds it. */
  readonly stateView: StateView;
  /** Whether that state is recent enough to serve by. */
  readonly freshness: Freshness;
  /** Load and health of the replicas. */
  readonly replicaTracker: ReplicaTracker;
  /** Counters for the metrics page. */
  readonly metrics = new MetricCounters();
  /** Claims on idempotency keys. */
  readonly claims: Claims;
  /** The pipeline that requests pass. */
  readonly stages: Stages;
  private readonly controlReporter: ControlReporter;
  private readonly isolationAdmission = new IsolationAdmission(this);
  private listener: Listener | null = null;

  constructor(
    /** The settings it was started with. */
    readonly settings: GatewaySettings,
    /** Clock, network and the like, real or simulated. */
    readonly ports: Ports,
  ) {
    const { clock, random } = ports;
    this.incarnation = random.token(incarnationBytes);
    this.memberList = new MemberList(clock, this.hello);
    this.stateView = new StateView(clock, () => this.onStateChange());
    this.freshness = new Freshness(clock, this.members, this.stateView.logIndex);
    this.replicaTracker = new ReplicaTracker(clock, () => this.controlReporter.reportLongPrompt());
    this.claims = new Claims(ports, this.hello, this.members, () => this.peerPool);
    this.stages = this.createStages();
    this.failureDetector = new FailureDetector(
      ports,
      this.hello,
      this.memberList,
      () => this.peerPool,
      () => {},
    );
    this.peerPool = this.createPeerPool();
    this.controlReporter = new ControlReporter(this, () => {
      this.stages.placementStage.rejectQueuedIfNotFresh();
      this.admitIsolatedTenants();
    });
  }

  private readonly members = (): readonly Member[] => this.stateView.committedState()?.members ?? [];

  private readonly createStages = (): Stages =>
    new Stages({
      settings: this.settings,
      ports: this.ports,
      stateView: this.stateView,
      replicaTracker: this.replicaTracker,
      freshness: this.freshness,
      metrics: this.metrics,
      claims: this.claims,
    });

  private readonly createPeerPool = (): PeerPool =>
    new PeerPool(
      this.ports,
      this.hello,
      this.settings.seeds,
      this.memberList,
      () => [...this.members().map((member) => member.address), ...this.failureDetector.watcherAddresses()],
      peerMessageHandlers.of(this, (connection) => this.controlReporter.onConnectionOpen(connection)),
    );

  /** How this node introduces itself to others. */
  readonly hello = (): Hello => hellos.of('edge', this.settings, this.incarnation);

  /** Listens for other nodes. */
  readonly listen = async (): Promise<Result<void, NetworkError>> => {
    const { net, clock, log } = this.ports;
    const opened = await peerConnections.listen(
      net,
      clock,
      log,
      this.hello,
      this.settings.peerListenAddress,
      peerMessageHandlers.of(this, () => {}),
    );
    if (opened.isErr()) return err(opened.error);
    this.listener = opened.value;
    return ok(undefined);
  };

  private readonly admitIsolatedTenants = (): void =>
    background.run('admit isolated tenants', this.isolationAdmission.run());

  /** The parts are made one after the other, so some may be absent when the first state comes. */
  private readonly onStateChange = (): void => {
    for (const connection of this.peerPool?.openConnections() ?? []) connection.send('ack', this.stateView.logIndex());
    this.stages?.recheck();
    if (this.peerPool !== undefined) this.admitIsolatedTenants();
    this.peerPool?.reconcile();
  };

  /** Serves one request; resolves with a rejection or once the first piece came. */
  readonly serve = (completion: CompletionRequest): Promise<GatewayResponse> =>
    new Promise((resolve) => this.stages.accept(new GatewayRequest(completion, this.ports.clock.now(), resolve)));

  /** Rejects new requests and waits for the live ones, for `settings.drainMs` at most. */
  readonly drain = async (): Promise<void> => {
    this.stages.drain();
    const { clock } = this.ports;
    const drainDeadlineAt = clock.now() + this.settings.drainMs;
    while (this.stages.live.size > 0 && clock.now() < drainDeadlineAt) await timing.sleep(clock, drainPollIntervalMs);
  };

  /** Rejects the requests still live and closes all connections. */
  readonly stop = async (): Promise<void> => {
    this.controlReporter.stop();
    this.failureDetector.stop();
    this.peerPool.stop();
    for (const request of [...this.stages.live])
      this.stages.rejector.reject(request, 'draining', 'this gateway is closing');
    await this.listener?.close();
    await this.ports.httpClient.close();
  };
}

/** Gateways on real or simulated ports. */
export const gateways = {
  /** Makes a gateway and opens it; the error tells why its peer address could not be listened on. */
  start: async (settings: GatewaySettings, ports: Ports): Promise<Result<Gateway, NetworkError>> => {
    const gateway = new Gateway(settings, ports);
    const opened = await gateway.listen();
    return opened.isErr() ? err(opened.error) : ok(gateway);
  },
};
