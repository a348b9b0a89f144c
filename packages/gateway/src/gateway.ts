/** The gateway process: accepts requests from callers and has replicas run them. This module assembles its parts. */
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

/** One gateway process. */
export class Gateway implements GatewayContext {
  /** Random id of this run of the process. */
  readonly incarnation: string;
  /** Nodes known through gossip. */
  readonly memberList: MemberList;
  /** Open connections to other nodes. */
  readonly peerPool: PeerPool;
  /** Detects failures of other nodes by their heartbeats. */
  readonly failureDetector: FailureDetector;
  /** This gateway's copy of the committed state. */
  readonly stateView: StateView;
  /** Whether that copy is recent enough to serve requests. */
  readonly freshness: Freshness;
  /** Load and health of the replicas. */
  readonly replicaTracker: ReplicaTracker;
  /** Counters for the metrics page. */
  readonly metrics = new MetricCounters();
  /** Claims on idempotency keys. */
  readonly claims: Claims;
  /** The pipeline that processes requests. */
  readonly stages: Stages;
  private readonly controlReporter: ControlReporter;
  private readonly isolationAdmission = new IsolationAdmission(this);
  private listener: Listener | null = null;

  constructor(
    /** The settings that the process was started with. */
    readonly settings: GatewaySettings,
    /** Clock, network and other system interfaces, real or simulated. */
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

  /** The hello message that identifies this node to its peers. */
  readonly hello = (): Hello => hellos.of('edge', this.settings, this.incarnation);

  /** Starts listening for connections of other nodes. */
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

  /** May run while the constructor is still creating the parts, so that some may be undefined. */
  private readonly onStateChange = (): void => {
    for (const connection of this.peerPool?.openConnections() ?? []) connection.send('ack', this.stateView.logIndex());
    this.stages?.recheck();
    if (this.peerPool !== undefined) this.admitIsolatedTenants();
    this.peerPool?.reconcile();
  };

  /** Serves one request; resolves with a rejection, or with a stream once its first chunk has arrived. */
  readonly serve = (completion: CompletionRequest): Promise<GatewayResponse> =>
    new Promise((resolve) => this.stages.accept(new GatewayRequest(completion, this.ports.clock.now(), resolve)));

  /** Rejects new requests and waits at most `settings.drainMs` for the active ones to end. */
  readonly drain = async (): Promise<void> => {
    this.stages.drain();
    const { clock } = this.ports;
    const drainDeadlineAt = clock.now() + this.settings.drainMs;
    while (this.stages.live.size > 0 && clock.now() < drainDeadlineAt) await timing.sleep(clock, drainPollIntervalMs);
  };

  /** Rejects the requests that are still active and closes all connections. */
  readonly stop = async (): Promise<void> => {
    this.controlReporter.stop();
    this.failureDetector.stop();
    this.peerPool.stop();
    for (const request of [...this.stages.live])
      this.stages.rejector.reject(request, 'draining', 'this gateway is shutting down');
    await this.listener?.close();
    await this.ports.httpClient.close();
  };
}

/** Starts gateways. */
export const gateways = {
  /** Creates a gateway and listens on its peer address; returns the error if listening fails. */
  start: async (settings: GatewaySettings, ports: Ports): Promise<Result<Gateway, NetworkError>> => {
    const gateway = new Gateway(settings, ports);
    const opened = await gateway.listen();
    return opened.isErr() ? err(opened.error) : ok(gateway);
  },
};
