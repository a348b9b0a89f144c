/**
 * Catch-up of a member that is behind the newest committed state.
 *
 * The source encodes what the member lacks as one transfer: the changes it missed, or a snapshot of the state if they
 * are no longer in memory, or if they exceed one page and the snapshot is smaller. The size of a snapshot thus bounds
 * the cost. The member pulls the transfer page by page, one page and one transfer at a time. After a fault it resumes
 * where it stopped, at any source that encodes the same bytes.
 */
import { createHash } from 'node:crypto';
import { background, cbor } from '@martenworks/core-types';
import type { Clock, Log } from '@martenworks/core-types';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { Acceptor } from './acceptor.js';
import type { CompressedCommit } from './ballots.js';
import { catchUpMessages, catchUpTopics } from './catchUpMessages.js';
import type { Page, PageRequest } from './catchUpMessages.js';
import { compressedChanges, compressedStates } from './compression.js';
import { TransferSource } from './transferSource.js';

const pageTimeoutMs = 1_500;
const logIndexTimeoutMs = 800;
const maxTransferBytes = 128 * 1024 * 1024;
const maxTransfersPerRun = 8;

interface TransferProgress {
  readonly kind: Page['kind'];
  readonly digest: string;
  readonly size: number;
  readonly pages: Uint8Array[];
  receivedBytes: number;
}

/** Brings this node up to date from its peers, and answers peers that catch up from this node. */
export class CatchUp {
  private readonly source: TransferSource;
  private running: Promise<void> | null = null;
  private progress: TransferProgress | null = null;
  private failedSource: string | null = null;

  constructor(
    private readonly acceptor: Acceptor,
    private readonly peers: () => readonly PeerConnection[],
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.source = new TransferSource(acceptor);
  }

  private readonly logIndex = (): number => this.acceptor.committedState()?.logIndex ?? -1;

  /**
   * Asks all peers for their log index and catches up from the one furthest ahead; avoids the source that failed last.
   */
  readonly fromNewestPeer = async (): Promise<void> => {
    if (this.running !== null) return this.running;
    const positions = await Promise.all(
      this.peers().map(async (peer) => ({ peer, logIndex: await this.logIndexOf(peer, logIndexTimeoutMs) })),
    );
    const ahead = positions
      .filter(({ logIndex }) => logIndex !== null && logIndex > this.logIndex())
      .sort((a, b) => (b.logIndex ?? -1) - (a.logIndex ?? -1));
    const chosen = ahead.find(({ peer }) => peer.peer?.incarnation !== this.failedSource) ?? ahead[0];
    if (chosen !== undefined) await this.fromPeer(chosen.peer);
  };

  /** Catches up from one peer, or waits for the catch-up in progress, whichever peer it runs with. */
  readonly fromPeer = (peer: PeerConnection): Promise<void> => {
    this.running ??= this.pullTransfers(peer).finally(() => {
      this.running = null;
    });
    return this.running;
  };

  /**
   * Catches up to the log index that the peer reports. False if the peer does not answer, the transfer takes longer
   * than `timeoutMs`, or this node's disk fails.
   */
  readonly syncWith = async (peer: PeerConnection, timeoutMs: number): Promise<boolean> => {
    const peerLogIndex = await this.logIndexOf(peer, timeoutMs);
    if (peerLogIndex === null) return false;
    if (peerLogIndex > this.logIndex()) await this.waitAtMost(this.fromPeer(peer), timeoutMs);
    return peerLogIndex <= this.logIndex();
  };

  /** Asks a peer that is behind to catch up from this node. */
  readonly bringUpToDate = async (peer: PeerConnection, timeoutMs: number): Promise<void> =>
    void (await peer.call(catchUpTopics.behind, null, timeoutMs));

  /** Commits a change that a peer sent, or catches up if earlier ones are missing. */
  readonly commit = async (peer: PeerConnection, { logIndex, change }: CompressedCommit): Promise<void> => {
    if (logIndex <= this.logIndex()) return;
    if (logIndex > this.logIndex() + 1) return this.fromPeer(peer);
    await this.acceptor.commit({ logIndex, change: this.acceptor.decodeChange(change) });
  };

  /** The reply to a peer that catches up; undefined for any other topic. */
  readonly handleRequest = async (peer: PeerConnection, topic: string, body: unknown): Promise<unknown> => {
    switch (topic) {
      case catchUpTopics.logIndex:
        return this.logIndex();
      case catchUpTopics.page:
        return catchUpMessages.isPageRequest(body) ? this.source.page(body) : null;
      case catchUpTopics.behind:
        await this.fromPeer(peer);
        return this.logIndex();
      default:
        return undefined;
    }
  };

  private readonly logIndexOf = async (peer: PeerConnection, timeoutMs: number): Promise<number | null> => {
    const reply = await peer.call(catchUpTopics.logIndex, null, timeoutMs);
    return reply.isOk() && typeof reply.value === 'number' ? reply.value : null;
  };

  private readonly waitAtMost = (work: Promise<void>, timeoutMs: number): Promise<void> =>
    new Promise((resolve) => {
      const timer = this.clock.after(timeoutMs, resolve);
      background.run(
        'wait for catch-up',
        work.then(() => {
          timer.cancel();
          resolve();
        }),
      );
    });

  private readonly pullTransfers = async (peer: PeerConnection): Promise<void> => {
    for (let transfers = 0; transfers < maxTransfersPerRun; transfers += 1) {
      const before = this.logIndex();
      const isComplete = await this.pullTransfer(peer);
      this.failedSource = isComplete ? null : (peer.peer?.incarnation ?? null);
      if (!isComplete || this.logIndex() === before) return;
    }
  };

  /** Pulls one transfer to its end and applies it. True also if the peer has nothing newer; false on any failure. */
  private readonly pullTransfer = async (peer: PeerConnection): Promise<boolean> => {
    for (;;) {
      const { progress } = this;
      const request: PageRequest = {
        logIndex: this.logIndex(),
        digest: progress?.digest ?? null,
        offset: progress?.receivedBytes ?? 0,
      };
      const reply = await peer.call(catchUpTopics.page, request, pageTimeoutMs);
      if (reply.isErr()) return false;
      if (reply.value === null) {
        this.progress = null;
        return true;
      }
      if (!catchUpMessages.isPage(reply.value) || !this.addPage(reply.value)) return false;
      const current = this.progress;
      if (current !== null && current.receivedBytes === current.size) return this.applyTransfer(current);
    }
  };

  /** Adds a page to the current transfer, or starts another transfer with it; false if the page does not fit. */
  private readonly addPage = (page: Page): boolean => {
    if (page.size > maxTransferBytes || (page.bytes.length === 0 && page.size > page.offset)) return false;
    if (this.progress?.digest !== page.digest || page.offset === 0)
      this.progress = { kind: page.kind, digest: page.digest, size: page.size, pages: [], receivedBytes: 0 };
    if (page.offset !== this.progress.receivedBytes || page.offset + page.bytes.length > page.size) {
      this.progress = null;
      return false;
    }
    this.progress.pages.push(page.bytes.slice());
    this.progress.receivedBytes += page.bytes.length;
    return true;
  };

  /** Applies a complete transfer. After a failed write it is retained, and its bytes are not sent again. */
  private readonly applyTransfer = async (transfer: TransferProgress): Promise<boolean> => {
    const { kind, digest, pages } = transfer;
    const bytes = new Uint8Array(Buffer.concat(pages));
    this.progress = null;
    if (createHash('sha256').update(bytes).digest('hex') !== digest) {
      this.log.warn('state transfer failed its checksum', { kind, bytes: bytes.length });
      return false;
    }
    const isApplied = kind === 'snapshot' ? await this.adoptSnapshot(bytes) : await this.commitAll(bytes);
    if (!isApplied) this.progress = transfer;
    return isApplied;
  };

  private readonly adoptSnapshot = async (bytes: Uint8Array): Promise<boolean> => {
    const state = compressedStates.decode(bytes);
    return (await this.acceptor.adopt(state)) || this.logIndex() >= state.logIndex;
  };

  private readonly commitAll = async (bytes: Uint8Array): Promise<boolean> => {
    for (const { logIndex, change } of cbor.decode(bytes) as CompressedCommit[]) {
      const isCommitted = await this.acceptor.commit({ logIndex, change: compressedChanges.decode(change) });
      if (!isCommitted && logIndex > this.logIndex()) return false;
    }
    return true;
  };
}
