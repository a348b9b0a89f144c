import { expect } from 'chai';
import { SimWorld } from '@martenworks/test-fleet';
import type { RequestMetadata, Customer, ReplicaEndpoint, RoutingTable } from '@martenworks/core-types';
import { RoutingTableIndexer } from '@martenworks/route-table';
import {
  EventSplitter,
  RetryBudget,
  ReplicaTracker,
  PrefixCacheIndex,
  ReplicaSelector,
  WeightsTargets,
  headerLists,
} from '@martenworks/edge-proxy';

const bytes = (text: string): Uint8Array => Buffer.from(text, 'utf8');
const text = (part: Uint8Array): string => Buffer.from(part).toString('utf8');

describe('events of a stream', () => {
  it('given a stream cut anywhere, when it is fed byte by byte, then whole events come out byte for byte, with their ids', () => {
    const stream = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\nid:3\ndata: c\n\n';
    const cutter = new EventSplitter();
    const events = [...stream].flatMap((letter) => cutter.push(bytes(letter)));
    expect(events.map((event) => event.id)).to.deep.equal(['1', '2', '3']);
    expect(events.map((event) => text(event.bytes)).join('')).to.equal(stream);
    expect(cutter.remainder().length).to.equal(0);
  });

  it('given an event that broke off, when the stream ends, then it was not given out', () => {
    const cutter = new EventSplitter();
    expect(cutter.push(bytes('id: 1\ndata: a\n\nid: 2\ndata: b')).map((event) => event.id)).to.deep.equal(['1']);
    expect(text(cutter.remainder())).to.equal('id: 2\ndata: b');
  });
});

describe('headers that concern one connection', () => {
  it('given such headers and some that Connection names, when a list is passed on, then they are left out and the rest stays in order', () => {
    const list = [
      'Host',
      'a',
      'Connection',
      'close, X-One',
      'X-One',
      '1',
      'Try-Id',
      'q',
      'Transfer-Encoding',
      'chunked',
      'Accept',
      'x',
      'accept',
      'y',
    ];
    expect(headerLists.endToEnd(list)).to.deep.equal(['Host', 'a', 'Try-Id', 'q', 'Accept', 'x', 'accept', 'y']);
  });
});

describe('the budget of extra attempts', () => {
  const terms = { ratio: 0.2, windowMs: 10_000, slack: 58 };

  it('given nine edges that spend all they may in every window, when uneven load runs a minute, then no sliding window of all exceeds the bound', async () => {
    const world = new SimWorld(5);
    const { clock } = world.machine('10.0.0.1').ports();
    const budgets = Array.from({ length: 9 }, () => new RetryBudget(clock, terms, () => 9));
    const firsts: number[] = [];
    const extras: number[] = [];
    for (let step = 0; step < 600; step += 1) {
      await world.run(100);
      budgets.forEach((budget, at) => {
        for (let one = 0; one < at; one += 1) {
          budget.recordFirstAttempt('p');
          firsts.push(world.time);
        }
        while (budget.trySpend('p')) extras.push(world.time);
      });
    }
    const within = (times: readonly number[], end: number): number =>
      times.filter((at) => at > end - terms.windowMs && at <= end).length;
    for (let end = 10_000; end <= 60_000; end += 500) {
      const requests = Math.max(within(firsts, end), within(firsts, end - 10_000), within(firsts, end - 5_000));
      expect(within(extras, end)).to.be.at.most(requests * terms.ratio + terms.slack);
    }
    expect(extras.length).to.be.greaterThan(100);
  });

  it('given edges that start anew one after another, when each spends at once, then a young edge gets half of its slack only', () => {
    const clock = new SimWorld(1).machine('10.0.0.1').ports().clock;
    const budget = new RetryBudget(clock, { ratio: 0.2, windowMs: 10_000, slack: 80 }, () => 10);
    let spent = 0;
    while (budget.trySpend('p')) spent += 1;
    expect(spent).to.equal(3);
  });
});

const model = 'm';
const endpoint = (id: string, more: Partial<ReplicaEndpoint> = {}): ReplicaEndpoint => ({
  id,
  pool: 'p',
  address: `10.2.0.${id.length}:${8_000 + Number(id.slice(1))}`,
  zone: 'a',
  slots: 12,
  isLeaving: false,
  weights: { [model]: 1 },
  ...more,
});
const customers: Customer[] = [
  { name: 'shared', keyHashes: [], rank: null, isIsolated: false },
  { name: 'walled', keyHashes: [], rank: null, isIsolated: true },
];
const routingTable: RoutingTable = {
  routes: [],
  pools: [
    {
      name: 'p',
      connectionLimit: null,
      engine: {
        slots: 12,
        cacheTokens: 140_000,
        tokenBytes: 163_840,
        linkMbps: 1_100_000,
        inFlight: 12,
        models: [model],
      },
    },
  ],
  stores: [{ name: 's', address: '10.9.0.1:9000', zone: 'a', cacheTokens: 2_000_000, linkMbps: 300_000, inFlight: 12 }],
  customers,
  limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 },
};
const long = (id: string): RequestMetadata => ({
  id: 'q',
  key: null,
  remainingMs: null,
  model,
  tokensIn: 17_000,
  tokensOut: 17,
  parts: [
    { id, tokens: 13_300 },
    { id: 'own', tokens: 3_700 },
  ],
});
const nobody: ReadonlySet<string> = new Set();
const versionMs = 8_000;
const neededMs = 1_200;

const office = (count = 13) => {
  const world = new SimWorld(3);
  const { clock } = world.machine('10.0.0.1').ports();
  const replicaTracker = new ReplicaTracker(clock);
  const prefixCaches = new PrefixCacheIndex(clock);
  const weightsTargets = new WeightsTargets(clock, versionMs);
  const placing = new ReplicaSelector(replicaTracker, prefixCaches, clock, weightsTargets);
  replicaTracker.applyEndpoints({
    isWhole: true,
    put: Array.from({ length: count }, (_, at) => endpoint(`r${at + 1}`)),
    gone: [],
  });
  const view = new RoutingTableIndexer().view(1, routingTable);
  const place = (metadata: RequestMetadata, customer: Customer | null = null, avoided = nobody) =>
    placing.place({ pool: 'p', metadata, customer, avoided, neededMs }, view, 64);
  return { world, replicaTracker, prefixCaches, weightsTargets, place, clock };
};

describe('where a prompt goes', () => {
  it('given edges that never talk, when they place prompts of one anchor, then all choose one home, and many anchors spread', () => {
    const [one, other] = [office(), office()];
    const preferred = Array.from({ length: 92 }, (_, at) => one.place(long(`manual-${at}`))?.tracked.endpoint.id);
    expect(preferred).to.deep.equal(
      Array.from({ length: 92 }, (_, at) => other.place(long(`manual-${at}`))?.tracked.endpoint.id),
    );
    const counts = new Map<string | undefined, number>();
    for (const home of preferred) counts.set(home, (counts.get(home) ?? 0) + 1);
    expect(counts.size).to.be.greaterThan(10);
    expect(Math.max(...counts.values())).to.be.lessThan(20);
  });

  it('given a home that reads long prompts, when its anchor is kept there, then a crowded home is left for one that pulls from it', () => {
    const { replicaTracker, prefixCaches, place } = office();
    const home = place(long('manual'));
    if (home === null) throw new Error('no home');
    prefixCaches.apply([
      {
        address: home.tracked.endpoint.address,
        isWhole: false,
        isHeard: true,
        events: [{ isKept: true, salt: 'm@1', part: 'manual', tokens: 13_300 }],
      },
    ]);
    expect(place(long('manual'))?.tracked).to.equal(home.tracked);
    expect(place(long('manual'))?.isCached).to.equal(true);
    replicaTracker.recordStart(home.tracked, 60_000);
    const left = place(long('manual'));
    expect(left?.tracked).to.not.equal(home.tracked);
    expect(left?.holder).to.equal(home.tracked.endpoint.address);
  });

  it('given parts kept under other weights or for an isolated tenant, when another prompt is placed, then they count for nothing', () => {
    const { prefixCaches, place, replicaTracker } = office();
    const holder = replicaTracker.all()[4];
    if (holder === undefined) throw new Error('no replica');
    const kept = (salt: string) =>
      prefixCaches.apply([
        {
          address: holder.endpoint.address,
          isWhole: false,
          isHeard: true,
          events: [{ isKept: true, salt, part: 'manual', tokens: 13_300 }],
        },
      ]);
    kept('m@0');
    kept('m@1/walled');
    expect(place(long('manual'), customers[0])?.isCached).to.equal(false);
    expect(place(long('manual'), customers[0])?.salt).to.equal('m@1');
    const walled = place(long('manual'), customers[1]);
    expect(walled?.salt).to.equal('m@1/walled');
    expect(walled?.isCached === true || walled?.holder === holder.endpoint.address).to.equal(true);
  });

  it('given replicas that leave, rest or hold old weights for too long, when prompts are placed, then none of them is chosen', async () => {
    const { replicaTracker, weightsTargets, place, world } = office(3);
    replicaTracker.applyEndpoints({ isWhole: false, put: [endpoint('r1', { isLeaving: true })], gone: [] });
    replicaTracker.applyWeights({ id: 'r2', model, version: null, forMs: 500 });
    for (let at = 0; at < 50; at += 1) expect(place(long(`a${at}`))?.tracked.endpoint.id).to.equal('r3');
    replicaTracker.applyWeights({ id: 'r2', model, version: 2, forMs: 0 });
    weightsTargets.apply({ [model]: [{ version: 2, msAgo: 0 }] });
    await world.run(6_500);
    for (let at = 0; at < 50; at += 1) {
      const placed = place(long(`a${at}`));
      expect(placed?.tracked.endpoint.id).to.equal('r2');
      expect(placed?.version).to.equal(2);
    }
  });

  it('given a leaving replica, when an older list says that it is ready, then it stays leaving, and weights never go back', () => {
    const { replicaTracker } = office(2);
    replicaTracker.applyEndpoints({
      isWhole: false,
      put: [endpoint('r1', { isLeaving: true, weights: { m: 3 } })],
      gone: [],
    });
    replicaTracker.applyEndpoints({ isWhole: true, put: [endpoint('r1'), endpoint('r2')], gone: [] });
    const tracked = replicaTracker.all().find((one) => one.endpoint.id === 'r1');
    expect(tracked?.endpoint.isLeaving).to.equal(true);
    expect(tracked?.endpoint.weights).to.deep.equal({ m: 3 });
  });

  it('given a short part before the long one, when nobody keeps the long one, then no replica counts as keeping it', () => {
    const { place } = office();
    const prompt: RequestMetadata = {
      ...long('q'),
      parts: [
        { id: 'greeting', tokens: 55 },
        { id: 'manual', tokens: 13_300 },
        { id: 'own', tokens: 3_645 },
      ],
    };
    expect(place(prompt)?.isCached).to.equal(false);
  });

  it('given a long prompt that another edge has read at the home, when a second one of that anchor comes, then it goes there and waits rather than have it read twice', () => {
    const { replicaTracker, prefixCaches, place } = office();
    const home = place(long('manual'));
    if (home === null) throw new Error('no home');
    replicaTracker.applyPrefillNotice({
      id: 'x',
      replica: home.tracked.endpoint.id,
      tokens: 17_000,
      salt: 'm@1',
      part: 'manual',
    });
    prefixCaches.recordPrefill(home.tracked.endpoint.address, 'm@1', 'manual');
    expect(place(long('manual'))?.tracked).to.equal(home.tracked);
    const short: RequestMetadata = {
      ...long('s'),
      tokensIn: 400,
      parts: [
        { id: 'greeting', tokens: 55 },
        { id: 'session', tokens: 37 },
        { id: 'own', tokens: 300 },
      ],
    };
    for (let at = 0; at < 40; at += 1)
      expect(
        place({
          ...short,
          parts: [
            { id: 'greeting', tokens: 55 },
            { id: `session-${at}`, tokens: 37 },
            { id: 'own', tokens: 300 },
          ],
        })?.tracked,
      ).to.not.equal(home.tracked);
    replicaTracker.applyPrefillNotice({
      id: 'x',
      replica: home.tracked.endpoint.id,
      tokens: 0,
      salt: null,
      part: null,
    });
    expect(home.tracked.otherEdgesTokens).to.equal(0);
  });
});

describe('replicas that lie about their health', () => {
  it('given one that fails a third of its requests, when prompts at home there come, then they go elsewhere, and come back once it has been well for a while', async () => {
    const { replicaTracker, place, world } = office();
    const home = place(long('manual'));
    if (home === null) throw new Error('no home');
    for (let at = 0; at < 12; at += 1) {
      if (at % 3 === 0) replicaTracker.health.recordFailure(home.tracked);
      else replicaTracker.health.recordSuccess(home.tracked);
    }
    expect(place(long('manual'))?.tracked).to.not.equal(home.tracked);
    await world.run(25_000);
    expect(place(long('manual'))?.tracked).to.equal(home.tracked);
  });

  it('given a pool in which every replica fails, when a prompt is placed, then the pool is not emptied by suspicion', () => {
    const { replicaTracker, place } = office();
    for (const tracked of replicaTracker.all())
      for (let at = 0; at < 6; at += 1) replicaTracker.health.recordFailure(tracked);
    expect(place(long('manual'))).to.not.equal(null);
  });
});

describe('what a store is sent', () => {
  it('given prompts of one manual with ends short and long, when they are placed, then only those whose end is short are sent on to the store', () => {
    const { prefixCaches, place } = office();
    prefixCaches.apply([{ address: '10.9.0.1:9000', isWhole: false, isHeard: true, events: [] }]);
    const withEnd = (tokens: number): RequestMetadata => ({
      ...long('manual'),
      tokensIn: 13_300 + tokens,
      parts: [
        { id: 'manual', tokens: 13_300 },
        { id: 'own', tokens },
      ],
    });
    expect(place(withEnd(1_000))?.store).to.equal('10.9.0.1:9000');
    expect(place(withEnd(9_000))?.store).to.equal(null);
    prefixCaches.apply([
      {
        address: '10.9.0.1:9000',
        isWhole: false,
        isHeard: true,
        events: [{ isKept: true, salt: 'm@1', part: 'manual', tokens: 13_300 }],
      },
    ]);
    expect(place(withEnd(1_000))?.store).to.equal(null);
    expect(place(withEnd(1_000))?.holder).to.equal('10.9.0.1:9000');
  });

  it('given a store that is not heard, when a prompt is placed, then it is neither named nor sent anything', () => {
    const { place } = office();
    expect(place(long('manual'))?.store).to.equal(null);
    expect(place(long('manual'))?.holder).to.not.equal('10.9.0.1:9000');
  });
});

describe("the edge's index", () => {
  it('given a part that is dropped, when the news comes, then it counts no more, also where this edge saw it itself', () => {
    const { prefixCaches } = office();
    const news = (isKept: boolean, tokens: number) =>
      prefixCaches.apply([
        { address: 'x', isWhole: false, isHeard: true, events: [{ isKept, salt: 's', part: 'p', tokens }] },
      ]);
    prefixCaches.recordObserved('x', 's', 'p');
    expect(prefixCaches.isCached('x', 's', 'p', 500)).to.equal(true);
    news(false, 0);
    expect(prefixCaches.isCached('x', 's', 'p', 500)).to.equal(false);
    news(true, 500);
    expect(prefixCaches.isCached('x', 's', 'p', 500)).to.equal(true);
    news(false, 128);
    expect(prefixCaches.isCached('x', 's', 'p', 500)).to.equal(false);
  });

  it('given memory that goes by blocks of sixteen, when a part of 13,300 tokens is told as 13,296, then it counts as kept', () => {
    const { prefixCaches } = office();
    prefixCaches.apply([
      { address: 'x', isWhole: false, isHeard: true, events: [{ isKept: true, salt: 's', part: 'p', tokens: 13_296 }] },
    ]);
    expect(prefixCaches.isCached('x', 's', 'p', 13_300)).to.equal(true);
    expect(prefixCaches.isCached('x', 's', 'p', 20_000)).to.equal(false);
  });

  it('given what this edge saw itself, when no news ever tells of it, then it is trusted for a while only', async () => {
    const { prefixCaches, world } = office();
    prefixCaches.recordObserved('x', 's', 'p');
    await world.run(2_900);
    expect(prefixCaches.isCached('x', 's', 'p', 1)).to.equal(true);
    await world.run(200);
    expect(prefixCaches.isCached('x', 's', 'p', 1)).to.equal(false);
  });
});
