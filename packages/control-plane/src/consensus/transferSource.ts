/** The source side of catch-up: encodes what a member lacks and serves it page by page. */
import { createHash } from 'node:crypto';
import { cbor } from '@martenworks/core-types';
import type { Acceptor } from './acceptor.js';
import type { CompressedCommit } from './ballots.js';
import { pageBytes } from './catchUpMessages.js';
import type { Page, PageRequest } from './catchUpMessages.js';
import { compressedStates } from './compression.js';

const maxCachedTransfers = 8;
const maxCachedBytes = 16 * 1024 * 1024;

interface Transfer {
  readonly kind: Page['kind'];
  readonly logIndex: number;
  readonly digest: string;
  readonly bytes: Uint8Array;
}

/** Creates the transfers of one node and caches those in use, so that the snapshot of a log index is encoded once. */
export class TransferSource {
  private readonly cache = new Map<string, Transfer>();

  constructor(private readonly acceptor: Acceptor) {}

  /**
   * The requested page of the transfer that the requester has started, if it is still cached or can be encoded again
   * with the same digest; otherwise the first page of a new transfer. Null if the requester lacks nothing.
   */
  readonly page = ({ logIndex, digest, offset }: PageRequest): Page | null => {
    const started = digest === null ? undefined : this.cache.get(digest);
    const transfer = started ?? this.createTransfer(logIndex);
    if (transfer === null) return null;
    this.retain(transfer);
    const start = transfer.digest === digest && offset <= transfer.bytes.length ? offset : 0;
    return {
      kind: transfer.kind,
      digest: transfer.digest,
      size: transfer.bytes.length,
      offset: start,
      bytes: transfer.bytes.slice(start, start + pageBytes),
    };
  };

  private readonly createTransfer = (after: number): Transfer | null => {
    const state = this.acceptor.committedState();
    if (state === null || state.logIndex <= after) return null;
    const missed = this.acceptor.changesAfter(after);
    const missedBytes = (missed ?? []).reduce((sum, { change }) => sum + change.length, 0);
    if (missed !== null && missedBytes <= pageBytes) return this.changesTransfer(missed);
    const snapshot = this.snapshotTransfer();
    return missed !== null && missedBytes < snapshot.bytes.length ? this.changesTransfer(missed) : snapshot;
  };

  private readonly changesTransfer = (missed: readonly CompressedCommit[]): Transfer =>
    this.encodedTransfer('changes', missed.at(-1)?.logIndex ?? -1, cbor.encode(missed));

  private readonly snapshotTransfer = (): Transfer => {
    const state = this.acceptor.committedState();
    const logIndex = state?.logIndex ?? -1;
    const cached = [...this.cache.values()].find((one) => one.kind === 'snapshot' && one.logIndex === logIndex);
    return (
      cached ??
      this.encodedTransfer('snapshot', logIndex, state === null ? new Uint8Array() : compressedStates.encode(state))
    );
  };

  private readonly encodedTransfer = (kind: Page['kind'], logIndex: number, bytes: Uint8Array): Transfer => ({
    kind,
    logIndex,
    digest: createHash('sha256').update(bytes).digest('hex'),
    bytes: bytes.slice(),
  });

  /** Caches the transfers used most recently, bounded in number and bytes; the newest one is always retained. */
  private readonly retain = (transfer: Transfer): void => {
    this.cache.delete(transfer.digest);
    this.cache.set(transfer.digest, transfer);
    let bytes = [...this.cache.values()].reduce((sum, one) => sum + one.bytes.length, 0);
    for (const [digest, one] of this.cache) {
      if (this.cache.size === 1 || (this.cache.size <= maxCachedTransfers && bytes <= maxCachedBytes)) return;
      this.cache.delete(digest);
      bytes -= one.bytes.length;
    }
  };
}
