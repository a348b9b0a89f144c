import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, ClockEvent, Listener, Log, Net, NetFault, Wire } from '@martenworks/core-types';
import { Unpacker, frames } from './frames.js';

export const wireRelease = 2;
const backlogLimit = 8 * 1024 * 1024;
const callLimit = 1024;

export interface Hello {
  readonly release: number;
  readonly name: string;
  readonly role: 'counter' | 'postmaster' | 'inspector';
  readonly address: string;
  readonly http: string;
  readonly zone: string;
  readonly incarnation: string;
}

export const hellos = {
  of: (
    role: Hello['role'],
    node: {
      readonly name: string;
      readonly coach: string;
      readonly http: string;
      readonly operators: string | null;
      readonly zone: string;
    },
    incarnation: string,
  ): Hello => ({
    release: wireRelease,
    name: node.name,
    role,
    address: node.coach,
    http: role === 'counter' ? (node.operators ?? '') : node.http,
    zone: node.zone,
    incarnation,
  }),
};

type Frame =
  | { readonly f: 'hello'; readonly hello: Hello }
  | { readonly f: 'tell'; readonly topic: string; readonly body: unknown }
  | { readonly f: 'ask'; readonly id: number; readonly topic: string; readonly body: unknown }
  | { readonly f: 'reply'; readonly id: number; readonly body: unknown };

export interface PeerFault {
  readonly kind: 'coach';
  readonly code: 'closed' | 'late' | 'full' | 'unreachable' | 'release';
}

export interface Handlers {
  readonly told: (from: PeerConnection, topic: string, body: unknown) => void;
  readonly asked: (from: PeerConnection, topic: string, body: unknown) => Promise<unknown>;
  readonly joined: (connection: PeerConnection) => void;
  readonly left: (connection: PeerConnection) => void;
}

interface Call {
  readonly settle: (receipt: Result<unknown, PeerFault>) => void;
  readonly clockEvent: ClockEvent;
}

export class PeerConnection {
  private readonly calls = new Map<number, Call>();
  private nextCall = 1;
  private isOpen = true;
  neighbour: Hello | null = null;

  constructor(
    private readonly wire: Wire,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly own: Hello,
    private readonly handlers: Handlers,
  ) {}

  readonly begin = (): void => {
    const unpacker = new Unpacker(
      (message) => this.receive(message as Frame),
      (cause) => {
        this.log.warn('connection dropped', { cause, remote: this.wire.remote });
        this.close();
      },
    );
    this.send({ f: 'hello', hello: this.own });
    this.wire.listen(
      (bytes) => {
        if (this.isOpen) unpacker.take(bytes);
      },
      () => this.close(),
    );
  };

  private readonly send = (frame: Frame): boolean => {
    if (!this.isOpen) return false;
    if (this.wire.backlog() > backlogLimit) {
      this.log.warn('connection dropped', { cause: 'neighbour reads too slowly', remote: this.wire.remote });
      this.close();
      return false;
    }
    this.wire.write(frames.pack(frame));
    return true;
  };

  private readonly receive = (frame: Frame): void => {
    if (!this.isOpen) return;
    if (frame.f === 'hello') {
      if (frame.hello.release !== wireRelease) {
        this.log.warn('connection dropped', {
          cause: 'another wire release',
          theirs: frame.hello.release,
          ours: wireRelease,
        });
        this.close();
        return;
      }
      if (this.neighbour !== null) {
        this.close();
        return;
      }
      this.neighbour = frame.hello;
      this.handlers.joined(this);
      return;
    }
    if (this.neighbour === null) {
      this.close();
      return;
    }
    if (frame.f === 'tell') {
      this.handlers.told(this, frame.topic, frame.body);
      return;
    }
    if (frame.f === 'ask') {
      void this.handlers
        .asked(this, frame.topic, frame.body)
        .then((body) => this.send({ f: 'reply', id: frame.id, body }));
      return;
    }
    const call = this.calls.get(frame.id);
    if (call === undefined) return;
    this.calls.delete(frame.id);
    call.clockEvent.cancel();
    call.settle(ok(frame.body));
  };

  readonly tell = (topic: string, body: unknown): boolean => this.send({ f: 'tell', topic, body });

  readonly ask = (topic: string, body: unknown, patienceMs: number): Promise<Result<unknown, PeerFault>> => {
    if (!this.isOpen) return Promise.resolve(err({ kind: 'coach', code: 'closed' }));
    if (this.calls.size >= callLimit) return Promise.resolve(err({ kind: 'coach', code: 'full' }));
    const id = this.nextCall++;
    return new Promise((settle) => {
      const clockEvent = this.clock.after(patienceMs, () => {
        this.calls.delete(id);
        settle(err({ kind: 'coach', code: 'late' }));
      });
      this.calls.set(id, { settle, clockEvent });
      this.send({ f: 'ask', id, topic, body });
    });
  };

  readonly isLive = (): boolean => this.isOpen;

  readonly close = (): void => {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.wire.close();
    for (const call of this.calls.values()) {
      call.clockEvent.cancel();
      call.settle(err({ kind: 'coach', code: 'closed' }));
    }
    this.calls.clear();
    if (this.neighbour !== null) this.handlers.left(this);
  };
}

const helloPatienceMs = 2000;

export const peerConnections = {
  listen: (
    net: Net,
    clock: Clock,
    log: Log,
    own: () => Hello,
    address: string,
    handlers: Handlers,
  ): Promise<Result<Listener, NetFault>> =>
    net.listen(address, (wire) => {
      const connection = new PeerConnection(wire, clock, log, own(), handlers);
      clock.after(helloPatienceMs, () => {
        if (connection.neighbour === null) connection.close();
      });
      connection.begin();
    }),
  dial: async (
    net: Net,
    clock: Clock,
    log: Log,
    own: Hello,
    address: string,
    handlers: Handlers,
    patienceMs = helloPatienceMs,
  ): Promise<Result<PeerConnection, PeerFault>> => {
    const wire = await net.dial(address, patienceMs);
    if (wire.isErr()) return err({ kind: 'coach', code: 'unreachable' });
    return new Promise((settle) => {
      const connection: PeerConnection = new PeerConnection(wire.value, clock, log, own, {
        ...handlers,
        joined: (joined) => {
          clockEvent.cancel();
          handlers.joined(joined);
          settle(ok(joined));
        },
      });
      const clockEvent = clock.after(patienceMs, () => {
        if (connection.neighbour === null) connection.close();
        settle(err({ kind: 'coach', code: 'unreachable' }));
      });
      connection.begin();
    });
  },
};
