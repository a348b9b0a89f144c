/** A held connection between two nodes: messages both ways, and calls with replies. */
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background } from '@martenworks/core-types';
import type { Clock, Log, RawConnection } from '@martenworks/core-types';
import { Assembly } from './assembly.js';
import { peerError } from './errors.js';
import type { PeerError } from './errors.js';
import { FrameDecoder, maxFrameBytes, frames } from './frames.js';
import type { Frame, PartFrame } from './frames.js';
import { hellos, protocolVersion } from './hello.js';
import type { Hello } from './hello.js';
import { OpenCalls } from './openCalls.js';
import { SendQueue, partBytes } from './sendQueue.js';
import { StallDetector } from './stallDetector.js';
import { streams } from './streams.js';

/**
 * What the owner of a connection does with what comes on it. Bodies are as the peer sent them: each topic's reader
 * checks its own.
 */
export interface PeerHandlers {
  readonly onMessage: (from: PeerConnection, topic: string, body: unknown) => void;
  readonly onCall: (from: PeerConnection, topic: string, body: unknown) => Promise<unknown>;
  /** The peer's hello has come; before it nothing else is handed on. */
  readonly onOpen: (connection: PeerConnection) => void;
  /** The connection ended; called only after `onOpen`. */
  readonly onClose: (connection: PeerConnection) => void;
}

/** One connection to a peer, dialled or accepted; both ends are alike. Made by `peerConnections`. */
export class PeerConnection {
  private isOpen = true;
  private readonly calls: OpenCalls;
  private readonly queue: SendQueue;
  private readonly stalls: StallDetector;
  private readonly assembly = new Assembly();
  /** When a part of each stream last arrived or was acknowledged. */
  private readonly progressAt = new Map<string, number>();
  private receivedAt: number;
  /** The peer's hello, null until it has come. */
  peer: Hello | null = null;

  constructor(
    private readonly connection: RawConnection,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly own: Hello,
    private readonly handlers: PeerHandlers,
  ) {
    this.calls = new OpenCalls(clock, (stream) => this.progressAt.get(stream) ?? 0);
    this.queue = new SendQueue(clock, (part) => this.connection.write(frames.encodeFrame(part)));
    this.stalls = new StallDetector(clock);
    this.receivedAt = clock.now();
  }

  /** Sends the own hello and begins to read. */
  readonly start = (): void => {
    const unpacker = new FrameDecoder(this.receiveMessage, (cause) => this.drop(cause));
    this.sendFrame('hello', { f: 'hello', hello: this.own });
    this.connection.listen(
      (bytes) => {
        if (!this.isOpen) return;
        this.receivedAt = this.clock.now();
        unpacker.push(bytes);
      },
      () => this.close(),
    );
  };

  private readonly drop = (cause: string): void => {
    this.log.warn('connection dropped', { cause, remote: this.connection.remoteAddress });
    this.close();
  };

  private readonly sendFrame = (topic: string, frame: Frame): boolean => {
    if (!this.isOpen) return false;
    if (this.stalls.isStalled(this.connection.bufferedBytes(), this.queue.bytes())) {
      this.drop('peer reads too slowly');
      return false;
    }
    const message = frames.encode(frame);
    if (message.length > maxFrameBytes) {
      this.drop('message over the limit');
      return false;
    }
    const stream = streams.of(topic);
    if (message.length <= partBytes && !this.queue.hasWaiting(stream))
      this.connection.write(frames.withLengthPrefix(message));
    else this.queue.add(stream, message);
    return true;
  };

  private readonly receivePart = (part: PartFrame): void => {
    this.connection.write(frames.encodeFrame({ f: 'got' }));
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
    if (!frames.isFrame(message)) {
      this.drop('message of no known kind');
      return;
    }
    if (!this.isOpen) return;
    if (message.f === 'hello') this.receiveHello(message.hello);
    else if (this.peer === null) this.close();
    else this.receive(message);
  };

  private readonly receiveAcknowledgement = (): void => {
    const stream = this.queue.acknowledged();
    this.stalls.acknowledged();
    if (stream !== null) this.progressAt.set(stream, this.clock.now());
  };

  private readonly receiveHello = (hello: unknown): void => {
    const theirs = hellos.protocolVersionOf(hello);
    if (theirs !== protocolVersion) {
      const cause = 'peer protocol version mismatch';
      this.log.warn('connection dropped', { cause, theirs, ours: protocolVersion });
      this.close();
      return;
    }
    if (!hellos.isHello(hello)) {
      this.drop('hello is not readable');
      return;
    }
    if (this.peer !== null) {
      this.close();
      return;
    }
    this.peer = hello;
    this.handlers.onOpen(this);
  };

  private readonly receive = (frame: Exclude<Frame, { f: 'hello' }>): void => {
    switch (frame.f) {
      case 'part':
        this.receivePart(frame);
        return;
      case 'got':
        this.receiveAcknowledgement();
        return;
      case 'tell':
        this.handlers.onMessage(this, frame.topic, frame.body);
        return;
      case 'ask':
        background.run('answer a peer', this.answer(frame.id, frame.topic, frame.body));
        return;
      case 'reply':
        this.calls.reply(frame.id, frame.body);
    }
  };

  private readonly answer = (id: number, topic: string, body: unknown): Promise<unknown> =>
    this.handlers.onCall(this, topic, body).then((reply) => this.sendFrame(topic, { f: 'reply', id, body: reply }));

  /**
   * Sends a message. False where the connection is closed, or was dropped as the peer reads nothing or the message
   * passes the limit; true tells nothing of its arrival.
   */
  readonly send = (topic: string, body: unknown): boolean => this.sendFrame(topic, { f: 'tell', topic, body });

  /** Asks and waits for the reply.
   * @param timeoutMs milliseconds without progress: each part that arrives or is acknowledged on the ask's stream
   *   begins them anew
   * @returns the reply's body, or `timeout`, `full` (too many calls are open) or `closed` */
  readonly call = (topic: string, body: unknown, timeoutMs: number): Promise<Result<unknown, PeerError>> => {
    if (!this.isOpen) return Promise.resolve(err(peerError('closed')));
    if (this.calls.isFull()) return Promise.resolve(err(peerError('full')));
    return this.calls.open(streams.of(topic), timeoutMs, (id) => this.sendFrame(topic, { f: 'ask', id, topic, body }));
  };

  /** Milliseconds since the last byte from the peer. */
  readonly idleMs = (): number => this.clock.now() - this.receivedAt;

  /** Whether a large message of this topic's stream has begun to arrive and is not whole yet. */
  readonly isReceiving = (topic: string): boolean => this.assembly.isReceiving(streams.of(topic));

  /** Whether a large message of this topic's stream is on its way to the peer. */
  readonly isSending = (topic: string): boolean => this.queue.isSending(streams.of(topic));

  /** Whether the connection is open, as far as this end knows. */
  readonly isLive = (): boolean => this.isOpen;

  /** Closes the connection; open calls end as `closed`. */
  readonly close = (): void => {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.connection.close();
    this.calls.close();
    if (this.peer !== null) this.handlers.onClose(this);
  };
}
