/** A held connection between two nodes: tells, and asks with replies. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background } from '@martenworks/core-types';
import type { Clock, Timer, Listener, Log, Net, NetworkError, RawConnection } from '@martenworks/core-types';
import { Assembly } from './assembly.js';
import { Unpacker, frameLimit, frames } from './frames.js';
import type { Frame, PartFrame } from './frames.js';
import { SendQueue, partBytes } from './sendQueue.js';
import { streams } from './streams.js';

export const wireRelease = 4;
const backlogLimit = 8 * 1024 * 1024;
const hardBacklogLimit = 64 * 1024 * 1024;
const stalledMs = 3_000;
const callLimit = 1024;

export interface Hello {
  readonly release: number;
  readonly name: string;
  readonly role: 'edge' | 'control' | 'inspector';
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
      readonly peerAddress: string;
      readonly http: string;
      readonly operators: string | null;
      readonly zone: string;
    },
    incarnation: string,
  ): Hello => ({
    release: wireRelease,
    name: node.name,
    role,
    address: node.peerAddress,
    http: role === 'edge' ? (node.operators ?? '') : node.http,
    zone: node.zone,
    incarnation,
  }),
};

type PeerFrame = Frame<Hello>;

export interface PeerError {
  readonly kind: 'peer';
  readonly code: 'closed' | 'late' | 'full' | 'unreachable' | 'release';
}

export interface Handlers {
  readonly told: (from: PeerConnection, topic: string, body: unknown) => void;
  readonly asked: (from: PeerConnection, topic: string, body: unknown) => Promise<unknown>;
  readonly joined: (connection: PeerConnection) => void;
  readonly left: (connection: PeerConnection) => void;
}

interface Call {
  readonly settle: (reply: Result<unknown, PeerError>) => void;
  readonly stream: string;
  readonly timeoutMs: number;
  readonly askedAt: number;
  timer: Timer;
}

export class PeerConnection {
  private readonly calls = new Map<number, Call>();
  private nextCall = 1;
  private isOpen = true;
  private readonly queue: SendQueue;
  private readonly assembly = new Assembly();
  /** When a part of each stream last arrived or was acknowledged. */
  private readonly progressAt = new Map<string, number>();
  private lastBacklog = 0;
  private drainedAt: number;
  private heardAt: number;
  peer: Hello | null = null;

  constructor(
    private readonly wire: RawConnection,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly own: Hello,
    private readonly handlers: Handlers,
  ) {
    this.queue = new SendQueue(clock, (part) => this.wire.write(frames.pack(part)));
    this.drainedAt = clock.now();
    this.heardAt = clock.now();
  }

  readonly begin = (): void => {
    const unpacker = new Unpacker(this.receiveMessage, (cause) => this.drop(cause));
    this.send('hello', { f: 'hello', hello: this.own });
    this.wire.listen(
      (bytes) => {
        if (!this.isOpen) return;
        this.heardAt = this.clock.now();
        unpacker.take(bytes);
      },
      () => this.close(),
    );
  };

  private readonly drop = (cause: string): void => {
    this.log.warn('connection dropped', { cause, remote: this.wire.remote });
    this.close();
  };

  /** A peer that reads at the pace of its link is kept; one that takes nothing for a while isn't. */
  private readonly isStalled = (): boolean => {
    const now = this.clock.now();
    const backlog = this.wire.backlog();
    const waiting = backlog + this.queue.bytes();
    if (backlog < this.lastBacklog || waiting === 0) this.drainedAt = now;
    this.lastBacklog = backlog;
    return waiting > hardBacklogLimit || (waiting > backlogLimit && now - this.drainedAt > stalledMs);
  };

  private readonly send = (topic: string, frame: PeerFrame): boolean => {
    if (!this.isOpen) return false;
    if (this.isStalled()) {
      this.drop('peer reads too slowly');
      return false;
    }
    const message = frames.encode(frame);
    if (message.length > frameLimit) {
      this.drop('message over the limit');
      return false;
    }
    const stream = streams.of(topic);
    if (message.length <= partBytes && !this.queue.hasWaiting(stream)) this.wire.write(frames.withLength(message));
    else this.queue.add(stream, message);
    return true;
  };

  private readonly takePart = (part: PartFrame): void => {
    this.wire.write(frames.pack({ f: 'got' }));
    this.progressAt.set(part.stream, this.clock.now());
    const message = this.assembly.take(part);
    if (message === undefined) this.drop('message over the limit');
    else if (message !== null) this.receiveWhole(message);
  };

  private readonly receiveWhole = (message: Uint8Array): void => {
    let decoded: unknown;
    try {
      decoded = frames.decode(message);
    } catch {
      this.drop('message is not CBOR');
      return;
    }
    this.receiveMessage(decoded);
  };

  private readonly receiveMessage = (message: unknown): void => {
    if (frames.isFrame(message)) this.receive(message as PeerFrame);
    else this.drop('message of no known kind');
  };

  private readonly takeAcknowledgement = (): void => {
    const stream = this.queue.acknowledged();
    this.drainedAt = this.clock.now();
    if (stream !== null) this.progressAt.set(stream, this.drainedAt);
  };

  private readonly receive = (frame: PeerFrame): void => {
    if (!this.isOpen) return;
    if (frame.f === 'hello') {
      if (frame.hello.release !== wireRelease) {
        this.log.warn('connection dropped', {
          cause: 'peer protocol version mismatch',
          theirs: frame.hello.release,
          ours: wireRelease,
        });
        this.close();
        return;
      }
      if (this.peer !== null) {
        this.close();
        return;
      }
      this.peer = frame.hello;
      this.handlers.joined(this);
      return;
    }
    if (this.peer === null) {
      this.close();
      return;
    }
    if (frame.f === 'part') {
      this.takePart(frame);
      return;
    }
    if (frame.f === 'got') {
      this.takeAcknowledgement();
      return;
    }
    if (frame.f === 'tell') {
      this.handlers.told(this, frame.topic, frame.body);
      return;
    }
    if (frame.f === 'ask') {
      background.run(
        'answer a peer',
        this.handlers
          .asked(this, frame.topic, frame.body)
          .then((body) => this.send(frame.topic, { f: 'reply', id: frame.id, body })),
      );
      return;
    }
    const call = this.calls.get(frame.id);
    if (call === undefined) return;
    this.calls.delete(frame.id);
    call.timer.cancel();
    call.settle(ok(frame.body));
  };

  readonly tell = (topic: string, body: unknown): boolean => this.send(topic, { f: 'tell', topic, body });

  /** Asks and waits for the reply.
   * @param timeoutMs how long without progress: each part that arrives or is acknowledged on the ask's stream begins it anew
   * @returns the reply's body, or `late`, `full` (too many calls are open) or `closed` */
  readonly ask = (topic: string, body: unknown, timeoutMs: number): Promise<Result<unknown, PeerError>> => {
    if (!this.isOpen) return Promise.resolve(err({ kind: 'peer', code: 'closed' }));
    if (this.calls.size >= callLimit) return Promise.resolve(err({ kind: 'peer', code: 'full' }));
    const id = this.nextCall++;
    return new Promise((resolve) => {
      const timer = this.clock.after(timeoutMs, () => this.loseCallPatience(id));
      this.calls.set(id, { settle: resolve, stream: streams.of(topic), timeoutMs, askedAt: this.clock.now(), timer });
      this.send(topic, { f: 'ask', id, topic, body });
    });
  };

  private readonly loseCallPatience = (id: number): void => {
    const call = this.calls.get(id);
    if (call === undefined) return;
    const progressAt = Math.max(call.askedAt, this.progressAt.get(call.stream) ?? 0);
    const leftMs = progressAt + call.timeoutMs - this.clock.now();
    if (leftMs > 0) {
      call.timer = this.clock.after(leftMs, () => this.loseCallPatience(id));
      return;
    }
    this.calls.delete(id);
    call.settle(err({ kind: 'peer', code: 'late' }));
  };

  /** Milliseconds since the last byte from the neighbour. */
  readonly silentMs = (): number => this.clock.now() - this.heardAt;

  /** Whether a large message of this topic's stream has begun to arrive and is not whole yet. */
  readonly isReceiving = (topic: string): boolean => this.assembly.isReceiving(streams.of(topic));

  /** Whether a large message of this topic's stream is on its way to the neighbour. */
  readonly isSending = (topic: string): boolean => this.queue.isSending(streams.of(topic));

  readonly isLive = (): boolean => this.isOpen;

  readonly close = (): void => {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.wire.close();
    for (const call of this.calls.values()) {
      call.timer.cancel();
      call.settle(err({ kind: 'peer', code: 'closed' }));
    }
    this.calls.clear();
    if (this.peer !== null) this.handlers.left(this);
  };
}

const helloTimeoutMs = 2000;

export const peerConnections = {
  listen: (
    net: Net,
    clock: Clock,
    log: Log,
    own: () => Hello,
    address: string,
    handlers: Handlers,
  ): Promise<Result<Listener, NetworkError>> =>
    net.listen(address, (wire) => {
      const connection = new PeerConnection(wire, clock, log, own(), handlers);
      clock.after(helloTimeoutMs, () => {
        if (connection.peer === null) connection.close();
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
    timeoutMs = helloTimeoutMs,
  ): Promise<Result<PeerConnection, PeerError>> => {
    const wire = await net.dial(address, timeoutMs);
    if (wire.isErr()) return err({ kind: 'peer', code: 'unreachable' });
    return new Promise((resolve) => {
      const connection: PeerConnection = new PeerConnection(wire.value, clock, log, own, {
        ...handlers,
        joined: (joined) => {
          timer.cancel();
          handlers.joined(joined);
          resolve(ok(joined));
        },
      });
      const timer = clock.after(timeoutMs, () => {
        if (connection.peer === null) connection.close();
        resolve(err({ kind: 'peer', code: 'unreachable' }));
      });
      connection.begin();
    });
  },
};
