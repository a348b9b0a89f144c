import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { WayBook } from '@martenworks/core-types';

export interface BookFault {
  readonly path: string;
  readonly message: string;
}

const repeated = (labels: readonly string[]): { label: string; at: number }[] => {
  const seen = new Set<string>();
  return labels.flatMap((label, at) => {
    if (!seen.has(label)) {
      seen.add(label);
      return [];
    }
    return [{ label, at }];
  });
};

const wayFaults = ({ ways, pools }: WayBook): BookFault[] => {
  const known = new Set(pools.map((pool) => pool.name));
  return ways.flatMap((way, at) => {
    const path = `/ways/${at}`;
    const faults: BookFault[] = [];
    if (!way.pathStart.startsWith('/') || !way.pathStart.endsWith('/'))
      faults.push({ path: `${path}/pathStart`, message: 'must begin and end with a slash' });
    if (!(way.horizonMs > 0)) faults.push({ path: `${path}/horizonMs`, message: 'must be above 0' });
    if (!(way.shots >= 1)) faults.push({ path: `${path}/shots`, message: 'must be 1 or more' });
    if (way.shares.some((one) => !(one.share >= 0)) || !(way.shares.reduce((sum, one) => sum + one.share, 0) > 0))
      faults.push({ path: `${path}/shares`, message: 'must hold weights that sum to more than 0' });
    for (const { pool } of way.shares)
      if (!known.has(pool)) faults.push({ path: `${path}/shares`, message: `names the absent pool ${pool}` });
    return faults;
  });
};

const keyFaults = ({ customers }: WayBook): BookFault[] => {
  const holders = new Map<string, string>();
  return (customers ?? []).flatMap((customer, at) =>
    customer.keyHashes.flatMap((hash) => {
      const holder = holders.get(hash);
      holders.set(hash, customer.name);
      return holder === undefined || holder === customer.name
        ? []
        : [{ path: `/customers/${at}`, message: `shares a key with ${holder}` }];
    }),
  );
};

/** What makes a book invalid beyond its shape: absent pools, two ways in one place, no weight, no horizon, shared keys. Source: PROTOCOL's list of invalid configurations, in the product's terms. */
const faultsOf = (book: WayBook): BookFault[] => [
  ...wayFaults(book),
  ...repeated(book.ways.map((way) => way.name)).map(({ label, at }) => ({
    path: `/ways/${at}/name`,
    message: `${label} is the name of another way`,
  })),
  ...repeated(book.ways.map((way) => `${way.host} ${way.pathStart}`)).map(({ label, at }) => ({
    path: `/ways/${at}`,
    message: `${label} is the place of another way`,
  })),
  ...repeated([...book.pools, ...book.stores].map((pool) => pool.name)).map(({ label, at }) => ({
    path: `/pools/${at}/name`,
    message: `${label} is the name of another pool`,
  })),
  ...repeated((book.customers ?? []).map((customer) => customer.name)).map(({ label, at }) => ({
    path: `/customers/${at}/name`,
    message: `${label} is the name of another customer`,
  })),
  ...keyFaults(book),
];

export const books = {
  check: (book: WayBook): Result<WayBook, BookFault[]> => {
    const faults = faultsOf(book);
    return faults.length === 0 ? ok(book) : err(faults);
  },
};
