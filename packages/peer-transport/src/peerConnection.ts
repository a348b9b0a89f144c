/** A long-lived connection between two nodes: messages in both directions, and calls with replies. */
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background } from '@martenworks/core-types';
import type { Clock, Log, RawConnection } from '@martenworks/core-types';
import { MessageAssembler } from './messageAssembler.js';
import { peerError } from './errors.js';
import type { PeerError } from './errors.js';
import { FrameDecoder, maxFrameBytes, frames } from './frames.js';
import type { Frame, PartFrame } from './frames.js';
import { hellos, protocolVersion } from './hello.js';
import type { Hello } from './hello.js';
import { PendingCalls } from './pendingCalls.js';
import { SendQueue, maxPartBytes } from './sendQueue.js';
import { StallDetector } from './stallDetector.js';
import { streams } from './streams.js';

/**
 * The event handlers of a connection. Bodies are passed on as the peer sent them; the handler of each topic validates
 * them.
 */
export interface PeerHandlers {
  readonly onMessage: (from: PeerConnection, topic: string, body: unknown) => void;
  readonly onCall: (from: PeerConnection, topic: string, body: unknown) => Promise<unknown>;
  /** The peer's hello was received; no other handler is called before this. */
  readonly onOpen: (connection: PeerConnection) => void;
  /** The connection closed; called only after `onOpen`. */
  readonly onClose: (connection: PeerConnection) => void;
}

/** A connection to a peer, dialled or accepted; the protocol is symmetric. Created by `peerConnections`. */
export class PeerConnection {
  private isOpen = true;
  private readonly calls: PendingCalls;
  private readonly queue: SendQueue;
  private readonly stallDetector: StallDetector;
  private readonly assembler = new MessageAssembler();
  /** The time at which a part of each stream last arrived or was acknowledged. */
  private readonly progressAt = new Map<string, number>();
  private lastReceivedAt: number;
  /** The peer's hello, null until it is received. */
  peer: Hello | null = null;

  constructor(
    private readonly connection: RawConnection,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly own: Hello,
    private readonly handlers: PeerHandlers,
  ) {
    this.calls = new PendingCalls(clock, (stream) => this.progressAt.get(stream) ?? 0);
    this.queue = new SendQueue(clock, (part) => this.connection.write(frames.encodeFrame(part)));
    this.stallDetector = new StallDetector(clock);
    this.lastReceivedAt = clock.now();
  }

  /** Sends this node's hello and starts to read. */
  readonly start = (): void => {
    const decoder = new FrameDecoder(this.receiveMessage, (cause) => this.drop(cause));
    this.sendFrame('hello', { f: 'hello', hello: this.own });
    this.connection.listen(
      (bytes) => {
        if (!this.isOpen) return;
        this.lastReceivedAt = this.clock.now();
        decoder.push(bytes);
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
    if (this.stallDetector.isStalled(this.connection.bufferedBytes(), this.queue.queuedBytes())) {
      this.drop('peer reads too slowly');
      return false;
    }
    const message = frames.encode(frame);
    if (message.length > maxFrameBytes) {
      this.drop('message over the limit');
      return false;
    }
    const stream = streams.of(topic);
    if (message.length <= maxPartBytes && !this.queue.hasQueued(stream))
      this.connection.write(frames.withLengthPrefix(message));
    else this.queue.add(stream, message);
    return true;
  };

  private readonly receivePart = (part: PartFrame): void => {
    this.connection.write(frames.encodeFrame({ f: 'got' }));
    this.progressAt.set(part.stream, this.clock.now());
    const message = this.assembler.add(part);
    if (message === undefined) this.drop('message over the limit');
    else if (message !== null) this.receiveComplete(message);
  };

  private readonly receiveComplete = (message: Uint8Array): void => {
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
      this.drop('message of unknown kind');
      return;
    }
    if (!this.isOpen) return;
    if (message.f === 'hello') this.receiveHello(message.hello);
    else if (this.peer === null) this.close();
    else this.receive(message);
  };

  private readonly receiveAcknowledgement = (): void => {
    const stream = this.queue.recordAcknowledgement();
    this.stallDetector.recordAcknowledgement();
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
      this.drop('invalid hello');
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
   * Sends a message. Returns false if the connection is closed, also where this call closed it because the peer reads
   * too slowly or the message is too large. True does not mean that the message arrives.
   */
  readonly send = (topic: string, body: unknown): boolean => this.sendFrame(topic, { f: 'tell', topic, body });

  /** Calls the peer and waits for the reply.
   * @param timeoutMs timeout in milliseconds, which restarts with each part that arrives or is acknowledged on the
   *   stream of the call
   * @returns the reply's body, or `timeout`, `full` (too many calls are pending) or `closed` */
  readonly call = (topic: string, body: unknown, timeoutMs: number): Promise<Result<unknown, PeerError>> => {
    if (!this.isOpen) return Promise.resolve(err(peerError('closed')));
    if (this.calls.isFull()) return Promise.resolve(err(peerError('full')));
    return this.calls.start(streams.of(topic), timeoutMs, (id) => this.sendFrame(topic, { f: 'ask', id, topic, body }));
  };

  /** The milliseconds since the last byte from the peer. */
  readonly idleMs = (): number => this.clock.now() - this.lastReceivedAt;

  /** Whether a large message on this topic's stream has partly arrived. */
  readonly isReceiving = (topic: string): boolean => this.assembler.isReceiving(streams.of(topic));

  /** Whether a large message on this topic's stream is being sent. */
  readonly isSending = (topic: string): boolean => this.queue.isSending(streams.of(topic));

  /** Whether the connection is open on this side. */
  readonly isLive = (): boolean => this.isOpen;

  /** Closes the connection; pending calls end with `closed`. */
  readonly close = (): void => {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.connection.close();
    this.calls.close();
    if (this.peer !== null) this.handlers.onClose(this);
  };
}
