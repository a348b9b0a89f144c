/** Pings the control nodes, to report this gateway's load and to check that its committed state is recent. */
import { background, RepeatingTimer } from '@martenworks/core-types';
import type { LoadReport } from '@martenworks/core-types';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { GatewayContext } from '../gatewayContext.js';
import { peerMessages } from './peerMessages.js';

const pingIntervalMs = 250;
const pingTimeoutMs = 2_000;
const minIntervalFactor = 0.9;
const intervalFactorJitter = 0.2;

/** Pings each connected control node periodically, with at most one outstanding ping per connection. */
export class ControlReporter {
  private readonly timer: RepeatingTimer;
  private readonly pending = new Set<PeerConnection>();

  constructor(
    private readonly gateway: GatewayContext,
    private readonly beforePing: () => void,
  ) {
    const { clock, random } = gateway.ports;
    const intervalMs = (): number => pingIntervalMs * (minIntervalFactor + intervalFactorJitter * random.fraction());
    this.timer = new RepeatingTimer(clock, intervalMs, this.pingAll);
  }

  private readonly report = (): LoadReport => ({
    replicas: this.gateway.replicaTracker.report(),
    pools: this.gateway.stages.placementStage.demands(),
  });

  /** Reports the load immediately after a long prompt changed it, so that other gateways take that into account. */
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
    const timestamp = freshness.timestamp();
    const response = await connection.call('ping', this.report(), pingTimeoutMs);
    this.pending.delete(connection);
    if (response.isErr()) return connection.close();
    const pong = peerMessages.pong(response.value);
    if (pong === null) return;
    freshness.recordPong(timestamp, pong);
    replicaTracker.applyOtherLoads(pong.loads);
    stages.placementStage.updateContention(pong.contention);
    const incomplete = stateView.index.incompleteReplicas();
    if (incomplete.length > 0) connection.send('indexSnapshotRequest', incomplete);
    if (pong.logIndex > stateView.logIndex()) connection.send('subscribe', stateView.logIndex());
    stages.placementStage.placeAllQueued();
  };

  /** Subscribes to the changes of a newly connected control node and pings it. */
  readonly onConnectionOpen = (connection: PeerConnection): void => {
    if (connection.peer?.role !== 'control') return;
    connection.send('subscribe', this.gateway.stateView.logIndex());
    background.run('report load to a control node', this.ping(connection));
  };

  /** Stops pinging. */
  readonly stop = (): void => this.timer.stop();
}
