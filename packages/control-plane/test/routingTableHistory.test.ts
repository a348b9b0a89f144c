import { expect } from 'chai';
import type { Customer, PackedRoutingTable, Route, RoutingTable } from '@martenworks/core-types';
import { RoutingTableHistory } from '@martenworks/control-plane';
import { packedRoutingTables } from '@martenworks/route-table';

const routeCount = 200;

const route = (at: number, deadlineMs = 4_000): Route => ({
  name: `way-${at}`,
  host: 'a.example',
  pathPrefix: `/part-${at}/`,
  kind: 'repeatable',
  timeoutMs: deadlineMs,
  latencyTargetMs: 500,
  rank: 1,
  shares: [{ pool: 'p', share: 1 }],
  maxAttempts: 3,
  isPublic: false,
  isResumable: false,
  maxEventGapMs: null,
});

const customer = (at: number, key = `key-${at}`): Customer => ({
  name: `customer-${at}`,
  keyHashes: [key],
  rank: null,
  isIsolated: false,
});

const routes = (count = routeCount): Route[] => Array.from({ length: count }, (_, at) => route(at));

const routingTable = (more: Partial<RoutingTable> = {}): RoutingTable => ({
  routes: routes(),
  pools: [{ name: 'p', connectionLimit: null, engine: null }],
  stores: [],
  customers: Array.from({ length: 40 }, (_, at) => customer(at)),
  limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 },
  ...more,
});

const sorted = ({ routes: held, customers, ...rest }: RoutingTable): RoutingTable => {
  const byName = (a: { name: string }, b: { name: string }): number => (a.name < b.name ? -1 : 1);
  return {
    ...rest,
    routes: [...held].sort(byName),
    customers: customers === null ? null : [...customers].sort(byName),
  };
};

/** Configuration versions in a row, each a small change to the one before. */
const configVersions = (count: number): RoutingTable[] => {
  const all = [routingTable()];
  for (let at = 1; at < count; at += 1) {
    const before = all[at - 1] as RoutingTable;
    const kept = before.routes.filter(({ name }) => name !== `way-${at}`);
    const fresh = at % 3 === 0 ? [route(at - 1, 7_000 + at)] : [route(1_000 + at)];
    const customers = (before.customers ?? []).map((one) =>
      one.name === `customer-${at}` ? customer(at, `changed-${at}`) : one,
    );
    all.push({ ...before, routes: [...kept, ...fresh], customers });
  }
  return all;
};

const history = (routingTables: readonly RoutingTable[]): RoutingTableHistory => {
  const made = new RoutingTableHistory();
  for (const [at, one] of routingTables.entries()) made.note({ configVersion: at + 1, table: one, source: '' });
  return made;
};

const opened = (message: PackedRoutingTable | null, configVersion: number, held: RoutingTable | null): RoutingTable =>
  packedRoutingTables.unpack(message as PackedRoutingTable, { configVersion, routingTable: held })._unsafeUnwrap();

describe('the differences between configuration versions', () => {
  it('given twelve small changes, when edges hold any of the configuration versions before, then each gets a small difference that makes the newest of what it holds', () => {
    const routingTables = configVersions(13);
    const made = history(routingTables);
    const newest = routingTables.at(-1) as RoutingTable;
    const wholeBytes = packedRoutingTables.packTable(newest).deflated.length;
    for (const [at, held] of routingTables.slice(0, -1).entries()) {
      const message = made.messageFrom(at + 1);
      expect(message?.from).to.equal(at + 1);
      expect(message?.deflated.length ?? Infinity).to.be.below(wholeBytes / 2);
      expect(sorted(opened(message, at + 1, held))).to.deep.equal(sorted(newest));
    }
    expect(made.messageFrom(13)).to.equal(null);
  });

  it('given edges that hold the same configuration version, when each is told, then they are sent the same bytes, packed once', () => {
    const made = history(configVersions(4));
    expect(made.messageFrom(2)).to.equal(made.messageFrom(2));
    expect(made.messageFrom(77)).to.equal(made.messageFrom(0));
  });

  it('given an configuration version that was never told or came too long ago, when an edge holds it, then it gets the whole routing table', () => {
    const routingTables = configVersions(150);
    const made = history(routingTables);
    for (const configVersion of [0, 1, 9_999]) {
      const message = made.messageFrom(configVersion);
      expect(message?.from).to.equal(null);
      expect(sorted(opened(message, 0, null))).to.deep.equal(sorted(routingTables.at(-1) as RoutingTable));
    }
    expect(made.messageFrom(149)?.from).to.equal(149);
  });

  it('given keys that are asked for, then not, then of other customers, when an edge holds an older configuration version, then no customer of before is left to it', () => {
    const routingTables = [
      routingTable(),
      routingTable({ customers: null }),
      routingTable({ customers: [customer(7, 'other')] }),
    ];
    const made = history(routingTables);
    for (const [at, held] of routingTables.slice(0, -1).entries())
      expect(opened(made.messageFrom(at + 1), at + 1, held).customers).to.deep.equal([customer(7, 'other')]);
    const unkeyed = history(routingTables.slice(0, 2));
    expect(opened(unkeyed.messageFrom(1), 1, routingTables[0] as RoutingTable).customers).to.equal(null);
  });

  it('given a difference to another configuration version, or bytes that are none, when it is opened, then it is refused and nothing is made of it', () => {
    const routingTables = configVersions(3);
    const message = history(routingTables).messageFrom(2) as PackedRoutingTable;
    const codeOf = (packed: PackedRoutingTable, configVersion: number, held: RoutingTable | null): string | undefined =>
      packedRoutingTables.unpack(packed, { configVersion, routingTable: held }).match(
        () => 'opened',
        ({ code }) => code,
      );
    expect(codeOf(message, 1, routingTables[0] as RoutingTable)).to.equal('otherBase');
    expect(codeOf(message, 2, null)).to.equal('otherBase');
    expect(codeOf({ from: null, deflated: Uint8Array.of(1, 2, 3) }, 2, null)).to.equal('unreadable');
  });
});
