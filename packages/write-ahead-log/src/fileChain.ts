/**
 * The links between the files of a log, by which a lost file is found out: each names the batch it was written after.
 */

/** The last batch of a segment, or a snapshot: the number of its file and the checksum of its bytes. */
export interface Tip {
  readonly number: number;
  readonly checksum: number;
}

/**
 * Stands first in each segment, and behind the state in each snapshot: what it follows, null for the first segment of a
 * log.
 */
export interface Link {
  readonly walLink: { readonly after: Tip | null };
}

const isLink = (record: unknown): record is Link =>
  typeof record === 'object' && record !== null && 'walLink' in record;

const isSameTip = (a: Tip | null, b: Tip | null): boolean =>
  a === b || (a !== null && b !== null && a.number === b.number && a.checksum === b.checksum);

const linkAfter = (tip: Tip | null): Link => ({ walLink: { after: tip } });

/** Makes links and compares what they name. */
export const fileChain = { isLink, isSameTip, linkAfter };
