/** The differences between the last editions of the book of ways, as fronts are sent them. */
import type { BookPatch, PackedBook, WayBook, WaysInForce } from '@martenworks/core-types';
import { packedBooks, patches } from '@martenworks/route-table';

const mostPatches = 256;

interface Step {
  readonly patch: BookPatch;
  readonly to: number;
}

/** Keeps the differences between successive editions, as many as name no more entries together than the book does, and packs each message once for all fronts. */
export class BookHistory {
  private steps: Step[] = [];
  private packed = new Map<number, PackedBook>();
  private whole: PackedBook | null = null;
  private current: WaysInForce | null = null;

  /** Takes the ways in force now; told of the same edition again, it changes nothing. */
  readonly note = (ways: WaysInForce | null): void => {
    if (ways === null || ways.edition === this.current?.edition) return;
    const before = this.current;
    this.current = ways;
    this.packed = new Map();
    this.whole = null;
    if (before === null) return;
    const isKeyedAsBefore = (before.book.customers === null) === (ways.book.customers === null);
    if (ways.edition < before.edition || !isKeyedAsBefore) this.steps = [];
    else this.append({ patch: patches.between(before.edition, before.book, ways.book), to: ways.edition }, ways.book);
  };

  private readonly append = (step: Step, book: WayBook): void => {
    this.steps.push(step);
    let entries = 0;
    let kept = 0;
    while (kept < this.steps.length && kept < mostPatches) {
      entries += patches.size((this.steps[this.steps.length - 1 - kept] as Step).patch);
      if (entries >= book.ways.length + (book.customers?.length ?? 0)) break;
      kept += 1;
    }
    this.steps = kept === 0 ? [] : this.steps.slice(-kept);
  };

  /** What brings a front from its edition to the one in force: null where it holds it, a patch where one is known and smaller, else the whole book. */
  readonly messageFrom = (edition: number): PackedBook | null => {
    if (this.current === null || this.current.edition === edition) return null;
    const held = this.packed.get(edition);
    if (held !== undefined) return held;
    const patch = this.patchFrom(edition);
    if (patch === null) return this.wholeBook(this.current.book);
    const packed = packedBooks.patch(patch);
    this.packed.set(edition, packed);
    return packed;
  };

  private readonly wholeBook = (book: WayBook): PackedBook => {
    this.whole ??= packedBooks.whole(book);
    return this.whole;
  };

  private readonly patchFrom = (edition: number): BookPatch | null => {
    const first = this.steps.findIndex(({ patch }) => patch.from === edition);
    if (first === -1) return null;
    return this.steps
      .slice(first)
      .map(({ patch }) => patch)
      .reduce((joined, next) => patches.joined(joined, next));
  };
}
