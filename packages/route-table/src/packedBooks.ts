/** Books and patches as they travel to fronts: JSON, deflated once and shared by all that are sent it. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { BookPatch, PackedBook, WayBook } from '@martenworks/core-types';
import { patches } from './patches.js';

const deflateLevel = 1;
const mostInflatedBytes = 256 * 1_024 * 1_024;

const deflated = (value: unknown): Uint8Array => deflateRawSync(JSON.stringify(value), { level: deflateLevel });

const inflated = (bytes: Uint8Array): unknown =>
  JSON.parse(inflateRawSync(bytes, { maxOutputLength: mostInflatedBytes }).toString('utf8'));

export interface PackedBookFault {
  readonly kind: 'packedBook';
  readonly code: 'unreadable' | 'otherBase';
}

export const packedBooks = {
  whole: (book: WayBook): PackedBook => ({ from: null, deflated: deflated(book) }),
  patch: (patch: BookPatch): PackedBook => ({ from: patch.from, deflated: deflated(patch) }),
  /** The book that is meant, built on the held one where it is a patch; `otherBase` where that is another edition's. */
  open: (
    { from, deflated: bytes }: PackedBook,
    held: { readonly edition: number; readonly book: WayBook | null },
  ): Result<WayBook, PackedBookFault> => {
    try {
      if (from === null) return ok(inflated(bytes) as WayBook);
      if (from !== held.edition || held.book === null) return err({ kind: 'packedBook', code: 'otherBase' });
      return ok(patches.apply(held.book, inflated(bytes) as BookPatch));
    } catch {
      return err({ kind: 'packedBook', code: 'unreadable' });
    }
  },
};
