/**
 * The changes that an acceptor committed most recently, compressed; members that are slightly behind catch up from
 * them.
 */
import type { CommittedChange, CompressedCommit } from './ballots.js';
import { compressedChanges } from './compression.js';

const changeLimit = 256;
const byteLimit = 4 * 1024 * 1024;

/** A bounded queue of committed changes with consecutive log indexes. */
export class RecentChanges {
  private readonly changes: CompressedCommit[] = [];
  private bytes = 0;

  /** Appends the next change and drops the oldest ones beyond the limits; the newest is always retained. */
  readonly add = ({ logIndex, change }: CommittedChange): void => {
    const compressed = compressedChanges.encode(change);
    this.changes.push({ logIndex, change: compressed });
    this.bytes += compressed.length;
    while (this.isOverLimit()) this.bytes -= this.changes.shift()?.change.length ?? 0;
  };

  /** Removes all changes; the next one may have any log index. */
  readonly clear = (): void => {
    this.changes.length = 0;
    this.bytes = 0;
  };

  /** All changes after a log index, oldest first; null if some of them were dropped. */
  readonly after = (logIndex: number): readonly CompressedCommit[] | null => {
    const first = this.changes[0];
    if (logIndex < 0 || first === undefined || first.logIndex > logIndex + 1) return null;
    return this.changes.filter((change) => change.logIndex > logIndex);
  };

  private readonly isOverLimit = (): boolean =>
    this.changes.length > changeLimit || (this.bytes > byteLimit && this.changes.length > 1);
}
