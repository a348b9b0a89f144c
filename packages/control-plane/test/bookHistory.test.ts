import { expect } from 'chai';
import type { Customer, PackedBook, Way, WayBook } from '@martenworks/core-types';
import { BookHistory } from '@martenworks/control-plane';
import { packedBooks } from '@martenworks/route-table';

const wayCount = 200;

const way = (at: number, horizonMs = 4_000): Way => ({
  name: `way-${at}`,
  host: 'a.example',
  pathStart: `/part-${at}/`,
  kind: 'repeatable',
  horizonMs,
  targetMs: 500,
  rank: 1,
  shares: [{ pool: 'p', share: 1 }],
  shots: 3,
  isOpen: false,
  mayResume: false,
  gapMs: null,
});

const customer = (at: number, key = `key-${at}`): Customer => ({
  name: `customer-${at}`,
  keyHashes: [key],
  rank: null,
  isIsolated: false,
});

const ways = (count = wayCount): Way[] => Array.from({ length: count }, (_, at) => way(at));

const book = (more: Partial<WayBook> = {}): WayBook => ({
  ways: ways(),
  pools: [{ name: 'p', connectionLimit: null, engine: null }],
  stores: [],
  customers: Array.from({ length: 40 }, (_, at) => customer(at)),
  limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 },
  ...more,
});

const sorted = ({ ways: held, customers, ...rest }: WayBook): WayBook => {
  const byName = (a: { name: string }, b: { name: string }): number => (a.name < b.name ? -1 : 1);
  return { ...rest, ways: [...held].sort(byName), customers: customers === null ? null : [...customers].sort(byName) };
};

/** Editions in a row, each a small change to the one before. */
const editions = (count: number): WayBook[] => {
  const all = [book()];
  for (let at = 1; at < count; at += 1) {
    const before = all[at - 1] as WayBook;
    const kept = before.ways.filter(({ name }) => name !== `way-${at}`);
    const fresh = at % 3 === 0 ? [way(at - 1, 7_000 + at)] : [way(1_000 + at)];
    const customers = (before.customers ?? []).map((one) =>
      one.name === `customer-${at}` ? customer(at, `changed-${at}`) : one,
    );
    all.push({ ...before, ways: [...kept, ...fresh], customers });
  }
  return all;
};

const history = (books: readonly WayBook[]): BookHistory => {
  const made = new BookHistory();
  for (const [at, one] of books.entries()) made.note({ edition: at + 1, book: one, source: '' });
  return made;
};

const opened = (message: PackedBook | null, edition: number, held: WayBook | null): WayBook =>
  packedBooks.open(message as PackedBook, { edition, book: held })._unsafeUnwrap();

describe('the differences between editions', () => {
  it('given twelve small changes, when fronts hold any of the editions before, then each gets a small difference that makes the newest of what it holds', () => {
    const books = editions(13);
    const made = history(books);
    const newest = books.at(-1) as WayBook;
    const wholeBytes = packedBooks.whole(newest).deflated.length;
    for (const [at, held] of books.slice(0, -1).entries()) {
      const message = made.messageFrom(at + 1);
      expect(message?.from).to.equal(at + 1);
      expect(message?.deflated.length ?? Infinity).to.be.below(wholeBytes / 2);
      expect(sorted(opened(message, at + 1, held))).to.deep.equal(sorted(newest));
    }
    expect(made.messageFrom(13)).to.equal(null);
  });

  it('given fronts that hold the same edition, when each is told, then they are sent the same bytes, packed once', () => {
    const made = history(editions(4));
    expect(made.messageFrom(2)).to.equal(made.messageFrom(2));
    expect(made.messageFrom(77)).to.equal(made.messageFrom(0));
  });

  it('given an edition that was never told or came too long ago, when a front holds it, then it gets the whole book', () => {
    const books = editions(150);
    const made = history(books);
    for (const edition of [0, 1, 9_999]) {
      const message = made.messageFrom(edition);
      expect(message?.from).to.equal(null);
      expect(sorted(opened(message, 0, null))).to.deep.equal(sorted(books.at(-1) as WayBook));
    }
    expect(made.messageFrom(149)?.from).to.equal(149);
  });

  it('given keys that are asked for, then not, then of other customers, when a front holds an older edition, then no customer of before is left to it', () => {
    const books = [book(), book({ customers: null }), book({ customers: [customer(7, 'other')] })];
    const made = history(books);
    for (const [at, held] of books.slice(0, -1).entries())
      expect(opened(made.messageFrom(at + 1), at + 1, held).customers).to.deep.equal([customer(7, 'other')]);
    const unkeyed = history(books.slice(0, 2));
    expect(opened(unkeyed.messageFrom(1), 1, books[0] as WayBook).customers).to.equal(null);
  });

  it('given a difference to another edition, or bytes that are none, when it is opened, then it is refused and nothing is made of it', () => {
    const books = editions(3);
    const message = history(books).messageFrom(2) as PackedBook;
    const codeOf = (packed: PackedBook, edition: number, held: WayBook | null): string | undefined =>
      packedBooks.open(packed, { edition, book: held }).match(
        () => 'opened',
        ({ code }) => code,
      );
    expect(codeOf(message, 1, books[0] as WayBook)).to.equal('otherBase');
    expect(codeOf(message, 2, null)).to.equal('otherBase');
    expect(codeOf({ from: null, deflated: Uint8Array.of(1, 2, 3) }, 2, null)).to.equal('unreadable');
  });
});
