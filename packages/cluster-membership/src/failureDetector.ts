/** Sends and monitors heartbeats, and reports suspected nodes to the control nodes. */
import { RepeatingTimer } from '@martenworks/core-types';
import type { Ports } from '@martenworks/core-types';
import type { Hello } from '@martenworks/peer-transport';
import type { PeerPool } from './peerPool.js';
import type { RingNode } from './hashRing.js';
import type { MemberList } from './memberList.js';
import { HeartbeatMonitor, heartbeatIntervalMs } from './heartbeatMonitor.js';

const maxTickGapMs = 1_200;

/**
 * Detects failed nodes; runs on every node. A tick that is more than 1.2 s after the previous one means that this
 * process itself was paused: heartbeats that it did not receive meanwhile do not count against their senders.
 */
export class FailureDetector {
  /** The monitor of the heartbeats that this node receives. */
  readonly heartbeatMonitor: HeartbeatMonitor;
  private readonly timer: RepeatingTimer;
  private lastTickAt: number;

  constructor(
    ports: Ports,
    private readonly own: () => Hello,
    private readonly memberList: MemberList,
    private readonly peerPool: () => PeerPool,
    private readonly reportLocally: (suspects: readonly string[]) => void,
  ) {
    const { clock, random } = ports;
    this.heartbeatMonitor = new HeartbeatMonitor(clock, own, this.ringNodes);
    this.lastTickAt = clock.now();
    this.timer = new RepeatingTimer(
      clock,
      () => heartbeatIntervalMs * (0.95 + 0.1 * random.fraction()),
      () => this.tick(clock.now()),
    );
  }

  private readonly ringNodes = (): RingNode[] =>
    this.memberList
      .entries()
      .filter(({ hello }) => hello.role !== 'inspector')
      .map(({ hello }) => ({ name: hello.name, zone: hello.zone }));

  /** The addresses of the nodes that watch this one, to which it keeps connections. */
  readonly watcherAddresses = (): string[] => {
    const names = new Set(this.heartbeatMonitor.watchers());
    return this.memberList
      .entries()
      .filter(({ hello }) => names.has(hello.name))
      .map(({ hello }) => hello.address);
  };

  private readonly tick = (now: number): void => {
    if (now - this.lastTickAt > maxTickGapMs) this.heartbeatMonitor.resetAfterPause();
    this.lastTickAt = now;
    const watchers = new Set(this.heartbeatMonitor.watchers());
    const suspects = this.heartbeatMonitor.suspects();
    for (const connection of this.peerPool().openConnections()) {
      if (connection.peer === null) continue;
      if (watchers.has(connection.peer.name)) connection.send('heartbeat', this.own().name);
      if (connection.peer.role === 'control') connection.send('suspects', suspects);
    }
    this.reportLocally(suspects);
  };

  /** Stops sending heartbeats and reports. */
  readonly stop = (): void => this.timer.stop();
}
