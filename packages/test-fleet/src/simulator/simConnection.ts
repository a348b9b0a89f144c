/** Simulated connections: bytes arrive in order; a blocked link holds them back, as TCP's retransmissions would. */
import type { NetworkError, RawConnection } from '@martenworks/core-types';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { SimSender } from './simLink.js';
import type { SimulatedMachine, Simulation } from './simulation.js';

/** How often a blocked message is tried again. */
export const retransmitMs = 200;
const refusalMs = 1;

/** The host of an address `HOST:PORT`. */
export const hostOf = (address: string): string => address.slice(0, address.lastIndexOf(':'));

/** One direction of a connection. */
class OrderedChannel {
  isClosed = false;
  onBytes: ((bytes: Uint8Array) => void) | null = null;
  onClose: (() => void) | null = null;
  /** What arrived before anyone listened. */
  readonly undelivered: Uint8Array[] = [];
  private lastAt = 0;
  private blocked: (() => void)[] = [];

  constructor(
    private readonly world: Simulation,
    readonly from: SimulatedMachine,
    readonly to: SimulatedMachine,
  ) {}

  /** Calls `act` at the far end, behind all that was delivered before. */
  readonly deliver = (act: () => void): void => {
    const at = Math.max(this.lastAt, this.world.time + this.world.latency(this.from.host, this.to.host));
    this.lastAt = at;
    this.world.schedule(this.to, at - this.world.time, () => this.arrive(act));
  };

  readonly receiveBytes = (bytes: Uint8Array): void => {
    if (this.onBytes === null) this.undelivered.push(bytes);
    else this.onBytes(bytes);
  };

  /** Tells the listener at the far end that the connection is closed. */
  readonly closeReceiver = (): void => {
    if (this.isClosed) return;
    this.isClosed = true;
    const { onClose } = this;
    this.onClose = null;
    onClose?.();
  };

  private readonly isBlocked = (): boolean => this.world.isBlocked(this.from.host, this.to.host);

  private readonly arrive = (act: () => void): void => {
    if (this.isClosed) return;
    const isFirst = this.blocked.length === 0;
    if (isFirst && !this.isBlocked()) {
      act();
      return;
    }
    this.blocked.push(act);
    if (isFirst) this.retry();
  };

  private readonly retry = (): void => {
    this.world.schedule(this.to, retransmitMs, () => {
      if (this.isClosed) return;
      if (this.isBlocked()) return this.retry();
      const acts = this.blocked;
      this.blocked = [];
      for (const act of acts) act();
    });
  };
}

/** The end of a connection that belongs to `owner`; it stops working when that machine crashes. */
const endpointOf = (
  send: OrderedChannel,
  receive: OrderedChannel,
  owner: SimulatedMachine,
  ownerIncarnation: number,
): RawConnection => {
  const { world } = owner;
  const sender = new SimSender(
    () => owner.outbound,
    () => send.to.inbound,
    (bytes, arrived) =>
      send.deliver(() => {
        arrived();
        send.receiveBytes(bytes);
      }),
  );
  const close = (): void => {
    if (receive.isClosed) return;
    sender.discard();
    send.deliver(send.closeReceiver);
    receive.closeReceiver();
    owner.crashListeners.delete(crash);
  };
  const crash = (isReset: boolean): void => {
    sender.discard();
    if (isReset && !receive.isClosed)
      world.schedule(send.to, world.latency(owner.host, send.to.host), send.closeReceiver);
    receive.isClosed = true;
    receive.onClose = null;
  };
  owner.crashListeners.add(crash);
  return {
    remoteAddress: send.to.host,
    write: (bytes) => {
      if (receive.isClosed || owner.incarnation !== ownerIncarnation) return;
      world.onWrite?.(owner.host, send.to.host, bytes);
      sender.write(bytes.slice());
    },
    bufferedBytes: sender.backlog,
    listen: (onBytes, onClose) => {
      receive.onBytes = onBytes;
      receive.onClose = onClose;
      for (const bytes of receive.undelivered.splice(0)) onBytes(bytes);
    },
    close,
  };
};

const connectionBetween = (
  near: SimulatedMachine,
  nearIncarnation: number,
  far: SimulatedMachine,
): [RawConnection, RawConnection] => {
  const outward = new OrderedChannel(near.world, near, far);
  const inward = new OrderedChannel(near.world, far, near);
  return [endpointOf(outward, inward, near, nearIncarnation), endpointOf(inward, outward, far, far.incarnation)];
};

/**
 * Opens a connection to a listener of another machine. Fails with `ECONNREFUSED` where nothing listens and with
 * `ETIMEDOUT` after `patienceMs`; never settles for an incarnation that is gone.
 */
export const connectTo = (
  own: SimulatedMachine,
  incarnation: number,
  address: string,
  timeoutMs: number,
): Promise<Result<RawConnection, NetworkError>> =>
  new Promise((resolve) => {
    if (own.incarnation !== incarnation) return;
    const { world } = own;
    const target = world.machine(hostOf(address));
    let isDone = false;
    const finish = (outcome: Result<RawConnection, NetworkError>): void => {
      if (!isDone) resolve(outcome);
      isDone = true;
    };
    const fail = (code: string): void => finish(err({ kind: 'net', code, isUnsent: true }));
    world.schedule(own, timeoutMs, () => fail('ETIMEDOUT'));
    if (world.isBlocked(own.host, target.host)) return;
    world.schedule(target, world.latency(own.host, target.host), () => {
      if (isDone || world.isBlocked(target.host, own.host)) return;
      const onWire = target.listenerAt(address);
      if (onWire === undefined) {
        world.schedule(own, world.latency(target.host, own.host), () => fail('ECONNREFUSED'));
        return;
      }
      const [near, far] = connectionBetween(own, incarnation, target);
      onWire(far);
      world.schedule(own, world.latency(target.host, own.host), () => (isDone ? near.close() : finish(ok(near))));
    });
    if (target.isUp) return;
    world.schedule(own, refusalMs, () => {
      if (!target.isVanished) fail('ECONNREFUSED');
    });
  });
