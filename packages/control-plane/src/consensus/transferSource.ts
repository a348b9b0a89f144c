/** The source's side of catching up: encodes what a member lacks and serves it page by page. */
import { createHash } from 'node:crypto';
import { cbor } from '@martenworks/core-types';
import type { Acceptor } from './acceptor.js';
import type { CompressedCommit } from './ballots.js';
import { pageBytes } from './catchUpMessages.js';
import type { Page, PageRequest } from './catchUpMessages.js';
import { compressedStates } from './compression.js';

const transfersKept = 8;
const transferBytesKept = 16 * 1024 * 1024;

interface Transfer {
  readonly kind: Page['kind'];
  readonly logIndex: number;
  readonly digest: string;
  readonly bytes: Uint8Array;
}

/** Makes the transfers of one node and keeps the few that are being read; the snapshot of a log index is encoded once. */
export class TransferSource {
  private readonly kept = new Map<string, Transfer>();

  constructor(private readonly acceptor: Acceptor) {}

  /** One page for the asker: of the transfer it has begun if that is still kept or comes out the same, else of a new one from its start. */
  readonly page = ({ logIndex, digest, offset }: PageRequest): Page | null => {
    const begun = digest === null ? undefined : this.kept.get(digest);
    const transfer = begun ?? this.make(logIndex);
    if (transfer === null) return null;
    this.keep(transfer);
    const from = transfer.digest === digest && offset <= transfer.bytes.length ? offset : 0;
    return {
      kind: transfer.kind,
      digest: transfer.digest,
      size: transfer.bytes.length,
      offset: from,
      bytes: transfer.bytes.slice(from, from + pageBytes),
    };
  };

  private readonly make = (after: number): Transfer | null => {
    const state = this.acceptor.committedState();
    if (state === null || state.logIndex <= after) return null;
    const missed = this.acceptor.changesAfter(after);
    const missedBytes = (missed ?? []).reduce((sum, { change }) => sum + change.length, 0);
    if (missed !== null && missedBytes <= pageBytes) return this.changes(missed);
    const snapshot = this.snapshot();
    return missed !== null && missedBytes < snapshot.bytes.length ? this.changes(missed) : snapshot;
  };

  private readonly changes = (missed: readonly CompressedCommit[]): Transfer =>
    this.transfer('changes', missed.at(-1)?.logIndex ?? -1, cbor.encode(missed));

  private readonly snapshot = (): Transfer => {
    const state = this.acceptor.committedState();
    const logIndex = state?.logIndex ?? -1;
    const held = [...this.kept.values()].find((one) => one.kind === 'snapshot' && one.logIndex === logIndex);
    return (
      held ?? this.transfer('snapshot', logIndex, state === null ? new Uint8Array() : compressedStates.encode(state))
    );
  };

  private readonly transfer = (kind: Page['kind'], logIndex: number, bytes: Uint8Array): Transfer => ({
    kind,
    logIndex,
    digest: createHash('sha256').update(bytes).digest('hex'),
    bytes: bytes.slice(),
  });

  /** Keeps the transfers used last, bounded in number and bytes; the newest one always. */
  private readonly keep = (transfer: Transfer): void => {
    this.kept.delete(transfer.digest);
    this.kept.set(transfer.digest, transfer);
    let bytes = [...this.kept.values()].reduce((sum, one) => sum + one.bytes.length, 0);
    for (const [digest, one] of this.kept) {
      if (this.kept.size === 1 || (this.kept.size <= transfersKept && bytes <= transferBytesKept)) return;
      this.kept.delete(digest);
      bytes -= one.bytes.length;
    }
  };
}
