/** Pings the control nodes: reports this gateway's load and learns how recent its committed state is. */
import { background, RepeatingTimer } from '@martenworks/core-types';
import type { LoadReport } from '@martenworks/core-types';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { GatewayParts } from '../gatewayParts.js';
import { peerMessages } from './peerMessages.js';

const pingMs = 250;
const pingTimeoutMs = 2_000;
const shortestInterval = 0.9;
const intervalJitter = 0.2;

/** Pings each connected control node, one ping at a time. */
export class ControlReporter {
  private readonly timer: RepeatingTimer;
  private readonly pending = new Set<PeerConnection>();

  constructor(
    private readonly gateway: GatewayParts,
    private readonly beforePing: () => void,
  ) {
    const { clock, random } = gateway.ports;
    const intervalMs = (): number => pingMs * (shortestInterval + intervalJitter * random.fraction());
    this.timer = new RepeatingTimer(clock, intervalMs, this.pingAll);
  }

  private readonly report = (): LoadReport => ({
    replicas: this.gateway.replicaTracker.report(),
    pools: this.gateway.stages.placementStage.demands(),
  });

  /** Reports the load at once, for a long prompt that other gateways should know of. */
  readonly reportLongPrompt = (): void => {
    const report = this.report();
    for (const connection of this.gateway.peerPool.openConnections())
      if (connection.peer?.role === 'control') connection.send('longPrompts', report);
  };

  private readonly pingAll = (): void => {
    this.beforePing();
    for (const connection of this.gateway.peerPool.openConnections())
      background.run('report load to a control node', this.ping(connection));
  };

  private readonly ping = async (connection: PeerConnection): Promise<void> => {
    if (connection.peer?.role !== 'control' || this.pending.has(connection)) return;
    this.pending.add(connection);
    const { freshness, replicaTracker, stateView, stages } = this.gateway;
    const stamp = freshness.stamp();
    const response = await connection.call('ping', this.report(), pingTimeoutMs);
    this.pending.delete(connection);
    if (response.isErr()) return connection.close();
    const pong = peerMessages.pong(response.value);
    if (pong === null) return;
    freshness.heard(stamp, pong);
    replicaTracker.takeOtherLoads(pong.loads);
    stages.placementStage.takeContention(pong.contention);
    const broken = stateView.index.incompleteReplicas();
    if (broken.length > 0) connection.send('indexSnapshotRequest', broken);
    if (pong.logIndex > stateView.logIndex()) connection.send('subscribe', stateView.logIndex());
    stages.placementStage.pumpAll();
  };

  /** Subscribes to a newly connected control node's changes and pings it. */
  readonly joined = (connection: PeerConnection): void => {
    if (connection.peer?.role !== 'control') return;
    connection.send('subscribe', this.gateway.stateView.logIndex());
    background.run('report load to a control node', this.ping(connection));
  };

  /** Ends the pings. */
  readonly stop = (): void => this.timer.stop();
}
