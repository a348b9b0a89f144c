/** The links between the files of a log: each file names its predecessor, so that a missing file is detected. */

/** The end of a log file: the number of the file, and the checksum of a segment's last batch or of the snapshot. */
export interface Tip {
  readonly number: number;
  readonly checksum: number;
}

/**
 * The record that links a file to its predecessor: the first record of a segment, or the one after the state in a
 * snapshot. `after` is null in the first segment of a log.
 */
export interface Link {
  readonly walLink: { readonly after: Tip | null };
}

const isLink = (record: unknown): record is Link =>
  typeof record === 'object' && record !== null && 'walLink' in record;

const isSameTip = (a: Tip | null, b: Tip | null): boolean =>
  a === b || (a !== null && b !== null && a.number === b.number && a.checksum === b.checksum);

const linkTo = (tip: Tip | null): Link => ({ walLink: { after: tip } });

/** Creates and recognizes links, and compares the tips that they refer to. */
export const fileChain = { isLink, isSameTip, linkTo };
