import { background, RepeatingTimer, pause } from '@martenworks/core-types';
import type { Ports } from '@martenworks/core-types';
import { peerConnections } from '@martenworks/peer-transport';
import type { PeerConnection, Handlers, Hello } from '@martenworks/peer-transport';
import type { MemberList, MemberEntry } from './memberList.js';

const firstWaitMs = 50;
const longestWaitMs = 1_000;
const refreshMs = 1_000;
const memberListTimeoutMs = 800;
const enoughControlNodes = 3;

/** Milliseconds: how long one dial may take, and the longest wait between two. */
export interface DialPace {
  readonly timeoutMs: number;
  readonly longestWaitMs: number;
}

const usualPace: DialPace = { timeoutMs: 2_000, longestWaitMs };

interface PooledPeer {
  connection: PeerConnection | null;
  isStopped: boolean;
}

export class PeerPool {
  private readonly peers = new Map<string, PooledPeer>();
  private readonly refresher: RepeatingTimer;
  private isStopped = false;

  constructor(
    private readonly ports: Ports,
    private readonly own: () => Hello,
    private readonly seeds: readonly string[],
    private readonly memberList: MemberList,
    private readonly memberAddresses: () => readonly string[],
    private readonly handlers: Handlers,
    private readonly pace: DialPace = usualPace,
  ) {
    this.refresher = new RepeatingTimer(
      ports.clock,
      () => refreshMs * (0.75 + 0.5 * ports.random.fraction()),
      this.refresh,
    );
    this.align();
  }

  private readonly wanted = (): Set<string> => {
    const controlNodes = new Set([
      ...this.memberAddresses(),
      ...this.memberList.withRole('control').map((hello) => hello.address),
    ]);
    const liveControlNodes = this.open().filter((connection) => connection.peer?.role === 'control').length;
    const addresses = liveControlNodes >= enoughControlNodes ? controlNodes : new Set([...controlNodes, ...this.seeds]);
    addresses.delete(this.own().address);
    return addresses;
  };

  readonly align = (): void => {
    if (this.isStopped) return;
    const wanted = this.wanted();
    for (const address of wanted) if (!this.peers.has(address)) this.start(address);
    for (const [address, pooled] of this.peers) {
      if (wanted.has(address)) continue;
      pooled.isStopped = true;
      pooled.connection?.close();
      this.peers.delete(address);
    }
  };

  private readonly start = (address: string): void => {
    const pooled: PooledPeer = { connection: null, isStopped: false };
    this.peers.set(address, pooled);
    background.run('keep a peer connection', this.hold(address, pooled));
  };

  private readonly hold = async (address: string, pooled: PooledPeer): Promise<void> => {
    const { clock, random, net, log } = this.ports;
    let waitMs = firstWaitMs;
    while (!pooled.isStopped && !this.isStopped) {
      let hangUp = (): void => {};
      const ended = new Promise<void>((end) => (hangUp = end));
      const dialed = await peerConnections.dial(
        net,
        clock,
        log,
        this.own(),
        address,
        {
          ...this.handlers,
          left: (connection) => {
            this.handlers.left(connection);
            hangUp();
          },
        },
        this.pace.timeoutMs,
      );
      if (dialed.isOk()) {
        const connection = dialed.value;
        if (pooled.isStopped || this.isStopped) connection.close();
        pooled.connection = connection;
        if (connection.peer !== null) this.memberList.heard(connection.peer);
        background.run('learn the members from a peer', this.learnFrom(connection));
        const openedAt = clock.now();
        await ended;
        pooled.connection = null;
        if (clock.now() - openedAt > this.pace.longestWaitMs) waitMs = firstWaitMs;
      }
      if (pooled.isStopped || this.isStopped) return;
      await pause.for(clock, waitMs * (0.5 + random.fraction()));
      waitMs = Math.min(waitMs * 2, this.pace.longestWaitMs);
    }
  };

  private readonly learnFrom = async (connection: PeerConnection): Promise<void> => {
    const told = await connection.ask('memberList', this.memberList.entries(), memberListTimeoutMs);
    if (told.isOk()) this.memberList.merge(told.value as MemberEntry[]);
    if (connection.peer !== null && told.isOk()) this.memberList.heard(connection.peer);
    this.align();
  };

  private readonly refresh = (): void => {
    const live = this.open();
    const connection = live[Math.floor(this.ports.random.fraction() * live.length)];
    if (connection !== undefined) background.run('learn the members from a peer', this.learnFrom(connection));
    else this.align();
  };

  readonly open = (): PeerConnection[] =>
    [...this.peers.values()].flatMap((pooled) => (pooled.connection?.isLive() ? [pooled.connection] : []));

  readonly to = (incarnation: string): PeerConnection | undefined =>
    this.open().find((connection) => connection.peer?.incarnation === incarnation);

  readonly stop = (): void => {
    this.isStopped = true;
    this.refresher.stop();
    for (const pooled of this.peers.values()) pooled.connection?.close();
  };
}
