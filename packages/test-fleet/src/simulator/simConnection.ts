/** Simulated connections: bytes arrive in order; a blocked link delays them, as TCP retransmission would. */
import type { NetworkError, RawConnection } from '@martenworks/core-types';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { SimSender } from './simLink.js';
import type { SimulatedMachine, Simulation } from './simulation.js';

/** Interval at which a blocked message is sent again. */
export const retransmitMs = 200;
const refusalMs = 1;

/** Returns the host of an address `HOST:PORT`. */
export const hostOf = (address: string): string => address.slice(0, address.lastIndexOf(':'));

/** One direction of a connection. */
class OrderedChannel {
  isClosed = false;
  onBytes: ((bytes: Uint8Array) => void) | null = null;
  onClose: (() => void) | null = null;
  /** Bytes that arrived before a listener was attached. */
  readonly undelivered: Uint8Array[] = [];
  private lastArrivalAt = 0;
  private blockedActions: (() => void)[] = [];

  constructor(
    private readonly world: Simulation,
    readonly from: SimulatedMachine,
    readonly to: SimulatedMachine,
  ) {}

  /** Runs `action` at the receiving end, after all earlier deliveries. */
  readonly deliver = (action: () => void): void => {
    const at = Math.max(this.lastArrivalAt, this.world.time + this.world.latency(this.from.host, this.to.host));
    this.lastArrivalAt = at;
    this.world.schedule(this.to, at - this.world.time, () => this.arrive(action));
  };

  readonly receiveBytes = (bytes: Uint8Array): void => {
    if (this.onBytes === null) this.undelivered.push(bytes);
    else this.onBytes(bytes);
  };

  /** Notifies the listener at the receiving end that the connection is closed. */
  readonly closeReceiver = (): void => {
    if (this.isClosed) return;
    this.isClosed = true;
    const { onClose } = this;
    this.onClose = null;
    onClose?.();
  };

  private readonly isBlocked = (): boolean => this.world.isBlocked(this.from.host, this.to.host);

  private readonly arrive = (action: () => void): void => {
    if (this.isClosed) return;
    const isFirst = this.blockedActions.length === 0;
    if (isFirst && !this.isBlocked()) {
      action();
      return;
    }
    this.blockedActions.push(action);
    if (isFirst) this.retry();
  };

  private readonly retry = (): void => {
    this.world.schedule(this.to, retransmitMs, () => {
      if (this.isClosed) return;
      if (this.isBlocked()) return this.retry();
      const actions = this.blockedActions;
      this.blockedActions = [];
      for (const action of actions) action();
    });
  };
}

/** Returns the end of a connection that belongs to `owner`; it stops working when that machine crashes. */
const endpointOf = (
  outgoing: OrderedChannel,
  incoming: OrderedChannel,
  owner: SimulatedMachine,
  ownerIncarnation: number,
): RawConnection => {
  const { world } = owner;
  const sender = new SimSender(
    () => owner.outbound,
    () => outgoing.to.inbound,
    (bytes, onArrived) =>
      outgoing.deliver(() => {
        onArrived();
        outgoing.receiveBytes(bytes);
      }),
  );
  const close = (): void => {
    if (incoming.isClosed) return;
    sender.discard();
    outgoing.deliver(outgoing.closeReceiver);
    incoming.closeReceiver();
    owner.crashListeners.delete(crash);
  };
  const crash = (isReset: boolean): void => {
    sender.discard();
    if (isReset && !incoming.isClosed)
      world.schedule(outgoing.to, world.latency(owner.host, outgoing.to.host), outgoing.closeReceiver);
    incoming.isClosed = true;
    incoming.onClose = null;
  };
  owner.crashListeners.add(crash);
  return {
    remoteAddress: outgoing.to.host,
    write: (bytes) => {
      if (incoming.isClosed || owner.incarnation !== ownerIncarnation) return;
      world.onWrite?.(owner.host, outgoing.to.host, bytes);
      sender.write(bytes.slice());
    },
    bufferedBytes: sender.backlog,
    listen: (onBytes, onClose) => {
      incoming.onBytes = onBytes;
      incoming.onClose = onClose;
      for (const bytes of incoming.undelivered.splice(0)) onBytes(bytes);
    },
    close,
  };
};

const connectionBetween = (
  near: SimulatedMachine,
  nearIncarnation: number,
  far: SimulatedMachine,
): [RawConnection, RawConnection] => {
  const outgoing = new OrderedChannel(near.world, near, far);
  const incoming = new OrderedChannel(near.world, far, near);
  return [endpointOf(outgoing, incoming, near, nearIncarnation), endpointOf(incoming, outgoing, far, far.incarnation)];
};

/**
 * Opens a connection to a listener of another machine. Fails with `ECONNREFUSED` if nothing listens and with
 * `ETIMEDOUT` after `timeoutMs`; never resolves for an incarnation that has ended.
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
      const accept = target.listenerAt(address);
      if (accept === undefined) {
        world.schedule(own, world.latency(target.host, own.host), () => fail('ECONNREFUSED'));
        return;
      }
      const [near, far] = connectionBetween(own, incarnation, target);
      accept(far);
      world.schedule(own, world.latency(target.host, own.host), () => (isDone ? near.close() : finish(ok(near))));
    });
    if (target.isUp) return;
    world.schedule(own, refusalMs, () => {
      if (!target.isVanished) fail('ECONNREFUSED');
    });
  });
