/** Sends and watches heartbeats, and reports suspected nodes to the control nodes. */
import { RepeatingTimer } from '@martenworks/core-types';
import type { Ports } from '@martenworks/core-types';
import type { Hello } from '@martenworks/peer-transport';
import type { PeerPool } from './peerPool.js';
import type { RingNode } from './hashRing.js';
import type { MemberList } from './memberList.js';
import { HeartbeatMonitor, heartbeatIntervalMs } from './heartbeatMonitor.js';

const frozenMs = 1_200;

/**
 * Runs on every node. A tick that comes much too late tells that this process stood still: its own silence is not held
 * against the others.
 */
export class FailureDetector {
  /** The heartbeats that this node watches. */
  readonly heartbeatMonitor: HeartbeatMonitor;
  private readonly timer: RepeatingTimer;
  private tickedAt: number;

  constructor(
    ports: Ports,
    private readonly own: () => Hello,
    private readonly memberList: MemberList,
    private readonly peerPool: () => PeerPool,
    private readonly reportLocally: (suspects: readonly string[]) => void,
  ) {
    const { clock, random } = ports;
    this.heartbeatMonitor = new HeartbeatMonitor(clock, own, this.nodes);
    this.tickedAt = clock.now();
    this.timer = new RepeatingTimer(
      clock,
      () => heartbeatIntervalMs * (0.95 + 0.1 * random.fraction()),
      () => this.tick(clock.now()),
    );
  }

  private readonly nodes = (): RingNode[] =>
    this.memberList
      .entries()
      .filter(({ hello }) => hello.role !== 'inspector')
      .map(({ hello }) => ({ name: hello.name, zone: hello.zone }));

  /** Addresses of the nodes that watch this one, to hold connections to. */
  readonly watcherAddresses = (): string[] => {
    const names = new Set(this.heartbeatMonitor.watchers());
    return this.memberList
      .entries()
      .filter(({ hello }) => names.has(hello.name))
      .map(({ hello }) => hello.address);
  };

  private readonly tick = (now: number): void => {
    if (now - this.tickedAt > frozenMs) this.heartbeatMonitor.resetAfterPause();
    this.tickedAt = now;
    const watchers = new Set(this.heartbeatMonitor.watchers());
    const suspects = this.heartbeatMonitor.suspects();
    for (const connection of this.peerPool().openConnections()) {
      if (connection.peer === null) continue;
      if (watchers.has(connection.peer.name)) connection.send('heartbeat', this.own().name);
      if (connection.peer.role === 'control') connection.send('suspects', suspects);
    }
    this.reportLocally(suspects);
  };

  /** Stops the ticks. */
  readonly stop = (): void => this.timer.stop();
}
