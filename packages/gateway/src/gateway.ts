import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background, RepeatingTimer, pause } from '@martenworks/core-types';
import type {
  CommittedState,
  Change,
  KvCacheEvent,
  Listener,
  LoadReport,
  Loads,
  NetworkError,
  Pong,
  Ports,
  ReplicaRecord,
  IsolationClaim,
  IsolationStatus,
} from '@martenworks/core-types';
import type { GatewaySettings } from '@martenworks/settings';
import { peerConnections, hellos } from '@martenworks/peer-transport';
import type { PeerConnection, Handlers, Hello } from '@martenworks/peer-transport';
import type { PrefixIndexSnapshot } from '@martenworks/prefix-index';
import { PeerPool, MemberList, FailureDetector } from '@martenworks/cluster-membership';
import type { MemberEntry } from '@martenworks/cluster-membership';
import { StateView } from './state/stateView.js';
import { Claims } from './claims/claims.js';
import { Freshness } from './state/freshness.js';
import { GatewayRequest } from './gatewayRequest.js';
import type { Order, GatewayResponse } from './gatewayRequest.js';
import { Stages } from './pipeline/stages.js';
import { MetricCounters } from './metricCounters.js';
import { ReplicaTracker } from './replicas/replicaTracker.js';

const pingMs = 250;
const pingTimeoutMs = 2_000;
const admitTimeoutMs = 1_000;

export class Gateway {
  readonly incarnation: string;
  readonly memberList: MemberList;
  readonly peerPool: PeerPool;
  readonly failureDetector: FailureDetector;
  readonly stateView: StateView;
  readonly freshness: Freshness;
  readonly replicaTracker: ReplicaTracker;
  readonly metrics = new MetricCounters();
  readonly claims: Claims;
  readonly stages: Stages;
  private readonly pinger: RepeatingTimer;
  private readonly pinged = new Set<PeerConnection>();
  private listener: Listener | null = null;
  private isAdmitting = false;

  constructor(
    readonly settings: GatewaySettings,
    readonly ports: Ports,
  ) {
    const { clock, random } = ports;
    this.incarnation = random.token(8);
    this.memberList = new MemberList(clock, this.hello);
    this.stateView = new StateView(clock, () => this.changed());
    this.freshness = new Freshness(clock, () => this.stateView.agreed()?.members ?? [], this.stateView.logIndex);
    this.replicaTracker = new ReplicaTracker(clock, this.tellHeavy);
    this.claims = new Claims(
      ports,
      this.hello,
      () => this.stateView.agreed()?.members ?? [],
      () => this.peerPool,
    );
    this.stages = new Stages({
      settings,
      ports,
      stateView: this.stateView,
      replicaTracker: this.replicaTracker,
      freshness: this.freshness,
      metrics: this.metrics,
      claims: this.claims,
    });
    this.failureDetector = new FailureDetector(
      ports,
      this.hello,
      this.memberList,
      () => this.peerPool,
      () => {},
    );
    this.peerPool = new PeerPool(
      ports,
      this.hello,
      settings.seeds,
      this.memberList,
      () => [
        ...(this.stateView.agreed()?.members ?? []).map((member) => member.address),
        ...this.failureDetector.watcherAddresses(),
      ],
      this.handlers(this.joinControlNode),
    );
    this.pinger = new RepeatingTimer(clock, () => pingMs * (0.9 + 0.2 * random.fraction()), this.pingAll);
  }

  readonly hello = (): Hello => hellos.of('edge', this.settings, this.incarnation);

  readonly open = async (): Promise<Result<void, NetworkError>> => {
    const { net, clock, log } = this.ports;
    const opened = await peerConnections.listen(
      net,
      clock,
      log,
      this.hello,
      this.settings.peerListenAddress,
      this.handlers(() => {}),
    );
    if (opened.isErr()) return err(opened.error);
    this.listener = opened.value;
    return ok(undefined);
  };

  private readonly changed = (): void => {
    for (const connection of this.peerPool?.open() ?? []) connection.tell('ack', this.stateView.logIndex());
    this.stages?.recheck();
    if (this.peerPool !== undefined) background.run('admit sub-agents', this.admitSides());
    this.peerPool?.align();
  };

  private readonly admitSides = async (): Promise<void> => {
    const claims = this.stateView.sidesWanted();
    if (this.isAdmitting || claims.length === 0) return;
    this.isAdmitting = true;
    const standings = await this.askSides(claims);
    this.isAdmitting = false;
    if (standings.length === 0) return;
    this.stateView.sidesAdmitted(standings);
    this.stages.placementStage.pumpAll();
  };

  private readonly askSides = async (claims: readonly IsolationClaim[]): Promise<IsolationStatus[]> => {
    const members = this.stateView.agreed()?.members ?? [];
    const majority = Math.floor(members.length / 2) + 1;
    const told = new Map<string, IsolationStatus[]>();
    return new Promise((resolve) => {
      let open = members.length;
      const metrics = (standings: readonly IsolationStatus[]): void => {
        open -= 1;
        for (const one of standings) told.set(one.replica, [...(told.get(one.replica) ?? []), one]);
        const known = [...told.values()].filter((some) => some.length >= majority);
        if (known.length < claims.length && open > 0) return;
        resolve(
          known.map((some) => ({
            ...(some[0] as IsolationStatus),
            sides: [...new Set(some.flatMap((one) => one.sides))],
            ageMs: some.map((one) => one.ageMs).sort((a, b) => b - a)[majority - 1] as number,
          })),
        );
      };
      if (members.length === 0) resolve([]);
      for (const member of members) {
        const connection = this.peerPool.to(member.incarnation);
        if (connection === undefined) metrics([]);
        else
          background.run(
            'ask a peer to admit sub-agents',
            connection
              .ask('admitSides', claims, admitTimeoutMs)
              .then((response) => metrics(response.isOk() ? ((response.value as IsolationStatus[] | null) ?? []) : [])),
          );
      }
    });
  };

  private readonly report = (): LoadReport => ({
    replicas: this.replicaTracker.report(),
    pools: this.stages.placementStage.demands(),
  });

  private readonly tellHeavy = (): void => {
    const report = this.report();
    for (const connection of this.peerPool.open())
      if (connection.peer?.role === 'control') connection.tell('longPrompts', report);
  };

  private readonly pingAll = (): void => {
    this.stages.placementStage.sweep();
    background.run('admit sub-agents', this.admitSides());
    for (const connection of this.peerPool.open())
      background.run('report load to a control node', this.ping(connection));
  };

  private readonly ping = async (connection: PeerConnection): Promise<void> => {
    if (connection.peer?.role !== 'control' || this.pinged.has(connection)) return;
    this.pinged.add(connection);
    const stamp = this.freshness.stamp();
    const response = await connection.ask('ping', this.report(), pingTimeoutMs);
    this.pinged.delete(connection);
    if (response.isErr()) return connection.close();
    const pong = response.value as Pong;
    this.freshness.heard(stamp, pong);
    this.replicaTracker.toldOthers(pong.loads);
    this.stages.placementStage.contention = pong.contention;
    const broken = this.stateView.index.broken();
    if (broken.length > 0) connection.tell('indexSnapshotRequest', broken);
    if (pong.logIndex > this.stateView.logIndex()) connection.tell('subscribe', this.stateView.logIndex());
    this.stages.placementStage.pumpAll();
  };

  private readonly joinControlNode = (connection: PeerConnection): void => {
    if (connection.peer?.role !== 'control') return;
    connection.tell('subscribe', this.stateView.logIndex());
    background.run('report load to a control node', this.ping(connection));
  };

  private readonly handlers = (joined: (connection: PeerConnection) => void): Handlers => ({
    joined: (connection) => {
      if (connection.peer === null) return;
      this.memberList.heard(connection.peer);
      joined(connection);
    },
    left: () => {},
    told: (connection, topic, body) => {
      switch (topic) {
        case 'heartbeat':
          return this.failureDetector.watch.heartbeatFrom(body as string);
        case 'change': {
          const { logIndex, change } = body as { logIndex: number; change: Change };
          if (!this.stateView.takeChange(logIndex, change)) connection.tell('ack', this.stateView.logIndex());
          return;
        }
        case 'checkpoint':
          if (!this.stateView.takeSnapshot(body as CommittedState)) connection.tell('ack', this.stateView.logIndex());
          return;
        case 'replicas':
          this.stateView.takeReplicas(body as ReplicaRecord[]);
          return;
        case 'loads':
          return this.replicaTracker.toldOthers(body as Loads);
        case 'indexSnapshot':
          this.stateView.takeIndexSnapshot(body as PrefixIndexSnapshot);
          return;
        case 'kv':
          this.stateView.takeKv(body as KvCacheEvent[]);
          return;
      }
    },
    asked: async (_connection, topic, body) => {
      if (topic === 'keepalive') return true;
      if (topic === 'claimState') return this.claims.responseStore.stateOf(body as string);
      if (topic !== 'memberList') return null;
      this.memberList.merge(body as MemberEntry[]);
      return this.memberList.entries();
    },
  });

  readonly serve = (order: Order): Promise<GatewayResponse> =>
    new Promise((resolve) => this.stages.enter(new GatewayRequest(order, this.ports.clock.now(), resolve)));

  readonly drain = async (): Promise<void> => {
    this.stages.drain();
    const { clock } = this.ports;
    const endAt = clock.now() + this.settings.drainMs;
    while (this.stages.live.size > 0 && clock.now() < endAt) await pause.for(clock, 50);
  };

  readonly stop = async (): Promise<void> => {
    this.pinger.stop();
    this.failureDetector.stop();
    this.peerPool.stop();
    for (const request of [...this.stages.live])
      this.stages.rejector.refuse(request, 'draining', 'this gateway is closing');
    await this.listener?.close();
    await this.ports.httpClient.close();
  };
}

export const gateways = {
  start: async (settings: GatewaySettings, ports: Ports): Promise<Result<Gateway, NetworkError>> => {
    const gateway = new Gateway(settings, ports);
    const opened = await gateway.open();
    return opened.isErr() ? err(opened.error) : ok(gateway);
  },
};
