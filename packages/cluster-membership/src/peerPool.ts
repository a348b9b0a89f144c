/** Maintains outgoing connections to all control nodes. */
import { background, RepeatingTimer, timing } from '@martenworks/core-types';
import type { Ports } from '@martenworks/core-types';
import { peerConnections } from '@martenworks/peer-transport';
import type { PeerConnection, PeerHandlers, Hello } from '@martenworks/peer-transport';
import { memberEntries } from './memberList.js';
import type { MemberList } from './memberList.js';

const initialBackoffMs = 50;
const maxBackoffMs = 1_000;
const refreshIntervalMs = 1_000;
const memberListTimeoutMs = 800;
const minControlNodes = 3;

/** The timeout of one dial and the maximum backoff between dials, in milliseconds. */
export interface DialOptions {
  readonly timeoutMs: number;
  readonly maxBackoffMs: number;
}

const defaultDialOptions: DialOptions = { timeoutMs: 2_000, maxBackoffMs };

interface PooledPeer {
  connection: PeerConnection | null;
  isStopped: boolean;
}

/**
 * Owns the outgoing connections: one to each known control node, and to the seeds while fewer than three control nodes
 * are connected.
 */
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
    private readonly handlers: PeerHandlers,
    private readonly dialOptions: DialOptions = defaultDialOptions,
  ) {
    this.refresher = new RepeatingTimer(
      ports.clock,
      () => refreshIntervalMs * (0.75 + 0.5 * ports.random.fraction()),
      this.refresh,
    );
    this.reconcile();
  }

  private readonly wantedAddresses = (): Set<string> => {
    const controlNodes = new Set([
      ...this.memberAddresses(),
      ...this.memberList.withRole('control').map((hello) => hello.address),
    ]);
    const liveControlNodes = this.openConnections().filter((connection) => connection.peer?.role === 'control').length;
    const addresses = liveControlNodes >= minControlNodes ? controlNodes : new Set([...controlNodes, ...this.seeds]);
    addresses.delete(this.own().address);
    return addresses;
  };

  /** Dials wanted addresses without a connection, and closes connections to addresses that are no longer wanted. */
  readonly reconcile = (): void => {
    if (this.isStopped) return;
    const wanted = this.wantedAddresses();
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
    background.run('keep a peer connection', this.keepConnected(address, pooled));
  };

  private readonly isEnded = (pooled: PooledPeer): boolean => pooled.isStopped || this.isStopped;

  /**
   * Dials until the peer is no longer wanted, with exponential backoff up to the maximum; a connection that lasted
   * longer than the maximum resets the backoff.
   */
  private readonly keepConnected = async (address: string, pooled: PooledPeer): Promise<void> => {
    const { clock, random } = this.ports;
    let backoffMs = initialBackoffMs;
    while (!this.isEnded(pooled)) {
      const connectedMs = await this.connectOnce(address, pooled);
      if (connectedMs > this.dialOptions.maxBackoffMs) backoffMs = initialBackoffMs;
      if (this.isEnded(pooled)) return;
      await timing.sleep(clock, backoffMs * (0.5 + random.fraction()));
      backoffMs = Math.min(backoffMs * 2, this.dialOptions.maxBackoffMs);
    }
  };

  /** Dials once and waits for the end of the connection. Returns its duration in milliseconds, 0 if the dial failed. */
  private readonly connectOnce = async (address: string, pooled: PooledPeer): Promise<number> => {
    const { clock, net, log } = this.ports;
    let notifyClosed = (): void => {};
    const closed = new Promise<void>((resolve) => (notifyClosed = resolve));
    const handlers: PeerHandlers = {
      ...this.handlers,
      onClose: (connection) => {
        this.handlers.onClose(connection);
        notifyClosed();
      },
    };
    const dialed = await peerConnections.dial(
      net,
      clock,
      log,
      this.own(),
      address,
      handlers,
      this.dialOptions.timeoutMs,
    );
    if (dialed.isErr()) return 0;
    this.attach(dialed.value, pooled);
    const openedAt = clock.now();
    await closed;
    pooled.connection = null;
    return clock.now() - openedAt;
  };

  private readonly attach = (connection: PeerConnection, pooled: PooledPeer): void => {
    if (this.isEnded(pooled)) connection.close();
    pooled.connection = connection;
    if (connection.peer !== null) this.memberList.recordContact(connection.peer);
    background.run('learn the members from a peer', this.exchangeMembers(connection));
  };

  private readonly exchangeMembers = async (connection: PeerConnection): Promise<void> => {
    const reply = await connection.call('memberList', this.memberList.entries(), memberListTimeoutMs);
    if (reply.isOk()) this.memberList.merge(memberEntries.parse(reply.value));
    if (connection.peer !== null && reply.isOk()) this.memberList.recordContact(connection.peer);
    this.reconcile();
  };

  private readonly refresh = (): void => {
    const live = this.openConnections();
    const connection = live[Math.floor(this.ports.random.fraction() * live.length)];
    if (connection !== undefined) background.run('learn the members from a peer', this.exchangeMembers(connection));
    else this.reconcile();
  };

  /** The open connections. */
  readonly openConnections = (): PeerConnection[] =>
    [...this.peers.values()].flatMap((pooled) => (pooled.connection?.isLive() ? [pooled.connection] : []));

  /** The open connection to the node with this incarnation, if there is one. */
  readonly connectionTo = (incarnation: string): PeerConnection | undefined =>
    this.openConnections().find((connection) => connection.peer?.incarnation === incarnation);

  /** Closes all connections and stops dialling. */
  readonly stop = (): void => {
    this.isStopped = true;
    this.refresher.stop();
    for (const pooled of this.peers.values()) pooled.connection?.close();
  };
}
