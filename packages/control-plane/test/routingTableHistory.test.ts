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

const routingTable = (overrides: Partial<RoutingTable> = {}): RoutingTable => ({
  routes: routes(),
  pools: [{ name: 'p', connectionLimit: null, engine: null }],
  stores: [],
  customers: Array.from({ length: 40 }, (_, at) => customer(at)),
  limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 },
  ...overrides,
});

const sorted = ({ routes: unsorted, customers, ...rest }: RoutingTable): RoutingTable => {
  const byName = (a: { name: string }, b: { name: string }): number => (a.name < b.name ? -1 : 1);
  return {
    ...rest,
    routes: [...unsorted].sort(byName),
    customers: customers === null ? null : [...customers].sort(byName),
  };
};

/** Returns the tables of successive configuration versions, each a small change to the previous one. */
const successiveTables = (count: number): RoutingTable[] => {
  const all = [routingTable()];
  for (let at = 1; at < count; at += 1) {
    const previous = all[at - 1] as RoutingTable;
    const unchanged = previous.routes.filter(({ name }) => name !== `way-${at}`);
    const added = at % 3 === 0 ? [route(at - 1, 7_000 + at)] : [route(1_000 + at)];
    const customers = (previous.customers ?? []).map((one) =>
      one.name === `customer-${at}` ? customer(at, `changed-${at}`) : one,
    );
    all.push({ ...previous, routes: [...unchanged, ...added], customers });
  }
  return all;
};

const historyOf = (routingTables: readonly RoutingTable[]): RoutingTableHistory => {
  const history = new RoutingTableHistory();
  for (const [at, one] of routingTables.entries()) history.record({ configVersion: at + 1, table: one, source: '' });
  return history;
};

const unpacked = (message: PackedRoutingTable | null, configVersion: number, base: RoutingTable | null): RoutingTable =>
  packedRoutingTables.unpack(message as PackedRoutingTable, { configVersion, routingTable: base })._unsafeUnwrap();

describe('the history of the routing table', () => {
  it('given twelve small changes, when an edge has any earlier configuration version, then it gets a small patch from that version to the newest table', () => {
    const routingTables = successiveTables(13);
    const history = historyOf(routingTables);
    const newest = routingTables.at(-1) as RoutingTable;
    const fullBytes = packedRoutingTables.packTable(newest).deflated.length;
    for (const [at, base] of routingTables.slice(0, -1).entries()) {
      const message = history.messageFrom(at + 1);
      expect(message?.from).to.equal(at + 1);
      expect(message?.deflated.length ?? Infinity).to.be.below(fullBytes / 2);
      expect(sorted(unpacked(message, at + 1, base))).to.deep.equal(sorted(newest));
    }
    expect(history.messageFrom(13)).to.equal(null);
  });

  it('given edges with the same configuration version, when each is updated, then they get the same message, encoded once', () => {
    const history = historyOf(successiveTables(4));
    expect(history.messageFrom(2)).to.equal(history.messageFrom(2));
    expect(history.messageFrom(77)).to.equal(history.messageFrom(0));
  });

  it('given a configuration version that is unknown or too old, when an edge has it, then it gets the full routing table', () => {
    const routingTables = successiveTables(150);
    const history = historyOf(routingTables);
    for (const configVersion of [0, 1, 9_999]) {
      const message = history.messageFrom(configVersion);
      expect(message?.from).to.equal(null);
      expect(sorted(unpacked(message, 0, null))).to.deep.equal(sorted(routingTables.at(-1) as RoutingTable));
    }
    expect(history.messageFrom(149)?.from).to.equal(149);
  });

  it('given API keys that are required, then not required, then required of other customers, when an edge has an older configuration version, then none of the earlier customers remain', () => {
    const routingTables = [
      routingTable(),
      routingTable({ customers: null }),
      routingTable({ customers: [customer(7, 'other')] }),
    ];
    const history = historyOf(routingTables);
    for (const [at, base] of routingTables.slice(0, -1).entries())
      expect(unpacked(history.messageFrom(at + 1), at + 1, base).customers).to.deep.equal([customer(7, 'other')]);
    const withoutKeys = historyOf(routingTables.slice(0, 2));
    expect(unpacked(withoutKeys.messageFrom(1), 1, routingTables[0] as RoutingTable).customers).to.equal(null);
  });

  it('given a patch of another configuration version, or invalid bytes, when it is unpacked, then it fails and no routing table is returned', () => {
    const routingTables = successiveTables(3);
    const message = historyOf(routingTables).messageFrom(2) as PackedRoutingTable;
    const codeOf = (packed: PackedRoutingTable, configVersion: number, base: RoutingTable | null): string | undefined =>
      packedRoutingTables.unpack(packed, { configVersion, routingTable: base }).match(
        () => 'opened',
        ({ code }) => code,
      );
    expect(codeOf(message, 1, routingTables[0] as RoutingTable)).to.equal('otherBase');
    expect(codeOf(message, 2, null)).to.equal('otherBase');
    expect(codeOf({ from: null, deflated: Uint8Array.of(1, 2, 3) }, 2, null)).to.equal('unreadable');
  });
});
