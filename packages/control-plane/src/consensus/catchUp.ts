/**
 * Bringing a member that is behind up to the newest committed state.
 *
 * The source encodes what the member lacks as one transfer: the changes it missed, or a snapshot of the state where
 * that is smaller, so that the cost is bounded by the newest state. The member pulls it page by page, one page and one
 * transfer at a time, and goes on where it stopped after a fault, at any source that encodes the same bytes.
 */
import { createHash } from 'node:crypto';
import { background, cbor } from '@martenworks/core-types';
import type { Clock, Log } from '@martenworks/core-types';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { Acceptor } from './acceptor.js';
import type { CompressedCommit } from './ballots.js';
import { catchUpMessages, catchUpTopics } from './catchUpMessages.js';
import type { Page, PageAsk } from './catchUpMessages.js';
import { compressedChanges, compressedStates } from './compression.js';
import { TransferSource } from './transferSource.js';

const pageTimeoutMs = 1_500;
const logIndexTimeoutMs = 800;
const transferLimitBytes = 128 * 1024 * 1024;
const mostTransfersInRun = 8;

interface Progress {
  readonly kind: Page['kind'];
  readonly digest: string;
  readonly size: number;
  readonly parts: Uint8Array[];
  received: number;
}

/** One member's catching up, and its answers to members that catch up from it. */
export class CatchUp {
  private readonly source: TransferSource;
  private running: Promise<void> | null = null;
  private progress: Progress | null = null;
  private failedSource: string | null = null;

  constructor(
    private readonly acceptor: Acceptor,
    private readonly peers: () => readonly PeerConnection[],
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.source = new TransferSource(acceptor);
  }

  private readonly logIndex = (): number => this.acceptor.agreed()?.logIndex ?? -1;

  /** Asks all others how far they are and catches up from one that is ahead. */
  readonly step = async (): Promise<void> => {
    if (this.running !== null) return this.running;
    const positions = await Promise.all(
      this.peers().map(async (peer) => ({ peer, logIndex: await this.logIndexOf(peer, logIndexTimeoutMs) })),
    );
    const ahead = positions
      .filter(({ logIndex }) => logIndex !== null && logIndex > this.logIndex())
      .sort((a, b) => (b.logIndex ?? -1) - (a.logIndex ?? -1));
    const chosen = ahead.find(({ peer }) => peer.peer?.incarnation !== this.failedSource) ?? ahead[0];
    if (chosen !== undefined) await this.from(chosen.peer);
  };

  /** Catches up from one peer, or waits for the transfer that is on the way from any. */
  readonly from = (peer: PeerConnection): Promise<void> => {
    this.running ??= this.run(peer).finally(() => {
      this.running = null;
    });
    return this.running;
  };

  /** Whether the peer answered and this node then has all that the peer had. False also where a transfer took longer than `timeoutMs`, or this node's disk failed. */
  readonly ask = async (peer: PeerConnection, timeoutMs: number): Promise<boolean> => {
    const peerLogIndex = await this.logIndexOf(peer, timeoutMs);
    if (peerLogIndex === null) return false;
    if (peerLogIndex > this.logIndex()) await this.within(this.from(peer), timeoutMs);
    return peerLogIndex <= this.logIndex();
  };

  /** Asks a peer that is behind to catch up from this node. */
  readonly supply = async (peer: PeerConnection, timeoutMs: number): Promise<void> =>
    void (await peer.call(catchUpTopics.behind, null, timeoutMs));

  /** Commits a change that a peer sent, or catches up where earlier ones are missing. */
  readonly commit = async (peer: PeerConnection, { logIndex, change }: CompressedCommit): Promise<void> => {
    if (logIndex <= this.logIndex()) return;
    if (logIndex > this.logIndex() + 1) return this.from(peer);
    await this.acceptor.commit({ logIndex, change: this.acceptor.changeOf(change) });
  };

  /** The reply to a peer that catches up; undefined for topics of others. */
  readonly answer = async (peer: PeerConnection, topic: string, body: unknown): Promise<unknown> => {
    switch (topic) {
      case catchUpTopics.logIndex:
        return this.logIndex();
      case catchUpTopics.page:
        return catchUpMessages.isPageAsk(body) ? this.source.page(body) : null;
      case catchUpTopics.behind:
        await this.from(peer);
        return this.logIndex();
      default:
        return undefined;
    }
  };

  private readonly logIndexOf = async (peer: PeerConnection, timeoutMs: number): Promise<number | null> => {
    const reply = await peer.call(catchUpTopics.logIndex, null, timeoutMs);
    return reply.isOk() && typeof reply.value === 'number' ? reply.value : null;
  };

  private readonly within = (work: Promise<void>, timeoutMs: number): Promise<void> =>
    new Promise((resolve) => {
      const late = this.clock.after(timeoutMs, resolve);
      background.run(
        'wait for a catch-up',
        work.then(() => {
          late.cancel();
          resolve();
        }),
      );
    });

  private readonly run = async (peer: PeerConnection): Promise<void> => {
    for (let done = 0; done < mostTransfersInRun; done += 1) {
      const before = this.logIndex();
      const isWhole = await this.pull(peer);
      this.failedSource = isWhole ? null : (peer.peer?.incarnation ?? null);
      if (!isWhole || this.logIndex() === before) return;
    }
  };

  /** Pulls one transfer to its end and applies it; false where the peer failed or had nothing. */
  private readonly pull = async (peer: PeerConnection): Promise<boolean> => {
    for (;;) {
      const { progress } = this;
      const ask: PageAsk = {
        logIndex: this.logIndex(),
        digest: progress?.digest ?? null,
        offset: progress?.received ?? 0,
      };
      const reply = await peer.call(catchUpTopics.page, ask, pageTimeoutMs);
      if (reply.isErr()) return false;
      if (reply.value === null) {
        this.progress = null;
        return true;
      }
      if (!catchUpMessages.isPage(reply.value) || !this.take(reply.value)) return false;
      const taken = this.progress;
      if (taken !== null && taken.received === taken.size) return this.apply(taken);
    }
  };

  /** Adds a page to the transfer it belongs to, or begins anew with it; false for a page that fits nowhere. */
  private readonly take = (page: Page): boolean => {
    if (page.size > transferLimitBytes || (page.bytes.length === 0 && page.size > page.offset)) return false;
    if (this.progress?.digest !== page.digest || page.offset === 0)
      this.progress = { kind: page.kind, digest: page.digest, size: page.size, parts: [], received: 0 };
    if (page.offset !== this.progress.received || page.offset + page.bytes.length > page.size) {
      this.progress = null;
      return false;
    }
    this.progress.parts.push(page.bytes.slice());
    this.progress.received += page.bytes.length;
    return true;
  };

  /** Applies a whole transfer. It is kept where a write failed, and tried again without being sent again. */
  private readonly apply = async (whole: Progress): Promise<boolean> => {
    const { kind, digest, parts } = whole;
    const bytes = new Uint8Array(Buffer.concat(parts));
    this.progress = null;
    if (createHash('sha256').update(bytes).digest('hex') !== digest) {
      this.log.warn('state transfer failed its checksum', { kind, bytes: bytes.length });
      return false;
    }
    const isKept = kind === 'snapshot' ? await this.adopt(bytes) : await this.settleAll(bytes);
    if (!isKept) this.progress = whole;
    return isKept;
  };

  private readonly adopt = async (bytes: Uint8Array): Promise<boolean> => {
    const state = compressedStates.decode(bytes);
    return (await this.acceptor.adopt(state)) || this.logIndex() >= state.logIndex;
  };

  private readonly settleAll = async (bytes: Uint8Array): Promise<boolean> => {
    for (const { logIndex, change } of cbor.decode(bytes) as CompressedCommit[]) {
      const isKept = await this.acceptor.commit({ logIndex, change: compressedChanges.decode(change) });
      if (!isKept && logIndex > this.logIndex()) return false;
    }
    return true;
  };
}
