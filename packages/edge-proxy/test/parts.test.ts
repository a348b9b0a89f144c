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

describe('event splitter', () => {
  it('given a stream of events, when it is fed byte by byte, then complete events are returned unchanged, with their ids', () => {
    const stream = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\nid:3\ndata: c\n\n';
    const splitter = new EventSplitter();
    const events = [...stream].flatMap((letter) => splitter.push(bytes(letter)));
    expect(events.map((event) => event.id)).to.deep.equal(['1', '2', '3']);
    expect(events.map((event) => text(event.bytes)).join('')).to.equal(stream);
    expect(splitter.remainder().length).to.equal(0);
  });

  it('given an incomplete last event, when the stream ends, then the event is not returned', () => {
    const splitter = new EventSplitter();
    expect(splitter.push(bytes('id: 1\ndata: a\n\nid: 2\ndata: b')).map((event) => event.id)).to.deep.equal(['1']);
    expect(text(splitter.remainder())).to.equal('id: 2\ndata: b');
  });
});

describe('hop-by-hop headers', () => {
  it('given hop-by-hop headers and some that Connection names, when a list is forwarded, then they are removed and the rest keeps its order', () => {
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

describe('retry budget', () => {
  const limits = { ratio: 0.2, windowMs: 10_000, slack: 58 };

  it('given nine edges that spend their whole budget in every window, when uneven load runs for a minute, then no sliding window over all edges exceeds the limit', async () => {
    const world = new SimWorld(5);
    const { clock } = world.machine('10.0.0.1').ports();
    const budgets = Array.from({ length: 9 }, () => new RetryBudget(clock, limits, () => 9));
    const firstAttempts: number[] = [];
    const retries: number[] = [];
    for (let step = 0; step < 600; step += 1) {
      await world.run(100);
      budgets.forEach((budget, at) => {
        for (let one = 0; one < at; one += 1) {
          budget.recordFirstAttempt('p');
          firstAttempts.push(world.time);
        }
        while (budget.trySpend('p')) retries.push(world.time);
      });
    }
    const within = (times: readonly number[], end: number): number =>
      times.filter((at) => at > end - limits.windowMs && at <= end).length;
    for (let end = 10_000; end <= 60_000; end += 500) {
      const requests = Math.max(
        within(firstAttempts, end),
        within(firstAttempts, end - 10_000),
        within(firstAttempts, end - 5_000),
      );
      expect(within(retries, end)).to.be.at.most(requests * limits.ratio + limits.slack);
    }
    expect(retries.length).to.be.greaterThan(100);
  });

  it('given edges that restart one after another, when each spends immediately, then an edge gets only half of its slack in its first window', () => {
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
const longPrompt = (id: string): RequestMetadata => ({
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
const noReplicas: ReadonlySet<string> = new Set();
const versionMs = 8_000;
const neededMs = 1_200;

const setUp = (count = 13) => {
  const world = new SimWorld(3);
  const { clock } = world.machine('10.0.0.1').ports();
  const replicaTracker = new ReplicaTracker(clock);
  const prefixCaches = new PrefixCacheIndex(clock);
  const weightsTargets = new WeightsTargets(clock, versionMs);
  const replicaSelector = new ReplicaSelector(replicaTracker, prefixCaches, clock, weightsTargets);
  replicaTracker.applyEndpoints({
    isWhole: true,
    put: Array.from({ length: count }, (_, at) => endpoint(`r${at + 1}`)),
    gone: [],
  });
  const view = new RoutingTableIndexer().view(1, routingTable);
  const place = (metadata: RequestMetadata, customer: Customer | null = null, avoided = noReplicas) =>
    replicaSelector.place({ pool: 'p', metadata, customer, avoided, neededMs }, view, 64);
  return { world, replicaTracker, prefixCaches, weightsTargets, place, clock };
};

describe('placement', () => {
  it('given edges that do not communicate, when they place prompts with the same affinity part, then all choose the same replica, and many affinity parts spread over the replicas', () => {
    const [one, other] = [setUp(), setUp()];
    const preferred = Array.from({ length: 92 }, (_, at) => one.place(longPrompt(`manual-${at}`))?.tracked.endpoint.id);
    expect(preferred).to.deep.equal(
      Array.from({ length: 92 }, (_, at) => other.place(longPrompt(`manual-${at}`))?.tracked.endpoint.id),
    );
    const counts = new Map<string | undefined, number>();
    for (const id of preferred) counts.set(id, (counts.get(id) ?? 0) + 1);
    expect(counts.size).to.be.greaterThan(10);
    expect(Math.max(...counts.values())).to.be.lessThan(20);
  });

  it('given a preferred replica that has the affinity part cached, when it has a long prefill queue, then another replica is chosen that pulls from it', () => {
    const { replicaTracker, prefixCaches, place } = setUp();
    const preferred = place(longPrompt('manual'));
    if (preferred === null) throw new Error('no placement');
    prefixCaches.apply([
      {
        address: preferred.tracked.endpoint.address,
        isWhole: false,
        isHeard: true,
        events: [{ isKept: true, salt: 'm@1', part: 'manual', tokens: 13_300 }],
      },
    ]);
    expect(place(longPrompt('manual'))?.tracked).to.equal(preferred.tracked);
    expect(place(longPrompt('manual'))?.isCached).to.equal(true);
    replicaTracker.recordStart(preferred.tracked, 60_000);
    const other = place(longPrompt('manual'));
    expect(other?.tracked).to.not.equal(preferred.tracked);
    expect(other?.holder).to.equal(preferred.tracked.endpoint.address);
  });

  it('given parts cached under other weights or for an isolated tenant, when another prompt is placed, then they are ignored', () => {
    const { prefixCaches, place, replicaTracker } = setUp();
    const holder = replicaTracker.all()[4];
    if (holder === undefined) throw new Error('no replica');
    const reportCached = (salt: string) =>
      prefixCaches.apply([
        {
          address: holder.endpoint.address,
          isWhole: false,
          isHeard: true,
          events: [{ isKept: true, salt, part: 'manual', tokens: 13_300 }],
        },
      ]);
    reportCached('m@0');
    reportCached('m@1/walled');
    expect(place(longPrompt('manual'), customers[0])?.isCached).to.equal(false);
    expect(place(longPrompt('manual'), customers[0])?.salt).to.equal('m@1');
    const isolatedPlacement = place(longPrompt('manual'), customers[1]);
    expect(isolatedPlacement?.salt).to.equal('m@1/walled');
    expect(isolatedPlacement?.isCached === true || isolatedPlacement?.holder === holder.endpoint.address).to.equal(
      true,
    );
  });

  it('given replicas that are leaving, loading weights or on superseded weights for too long, when prompts are placed, then none of them is chosen', async () => {
    const { replicaTracker, weightsTargets, place, world } = setUp(3);
    replicaTracker.applyEndpoints({ isWhole: false, put: [endpoint('r1', { isLeaving: true })], gone: [] });
    replicaTracker.applyWeights({ id: 'r2', model, version: null, forMs: 500 });
    for (let at = 0; at < 50; at += 1) expect(place(longPrompt(`a${at}`))?.tracked.endpoint.id).to.equal('r3');
    replicaTracker.applyWeights({ id: 'r2', model, version: 2, forMs: 0 });
    weightsTargets.apply({ [model]: [{ version: 2, msAgo: 0 }] });
    await world.run(6_500);
    for (let at = 0; at < 50; at += 1) {
      const placed = place(longPrompt(`a${at}`));
      expect(placed?.tracked.endpoint.id).to.equal('r2');
      expect(placed?.version).to.equal(2);
    }
  });

  it('given a leaving replica, when an older list shows it as ready, then it stays leaving, and its weights version never decreases', () => {
    const { replicaTracker } = setUp(2);
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

  it('given a short part before a long one, when no replica has the long one cached, then the placement is not a cache hit', () => {
    const { place } = setUp();
    const prompt: RequestMetadata = {
      ...longPrompt('q'),
      parts: [
        { id: 'greeting', tokens: 55 },
        { id: 'manual', tokens: 13_300 },
        { id: 'own', tokens: 3_645 },
      ],
    };
    expect(place(prompt)?.isCached).to.equal(false);
  });

  it('given a long prompt of another edge being prefilled on the preferred replica, when a second one with the same affinity part arrives, then it is placed there and waits rather than being prefilled twice', () => {
    const { replicaTracker, prefixCaches, place } = setUp();
    const preferred = place(longPrompt('manual'));
    if (preferred === null) throw new Error('no placement');
    replicaTracker.applyPrefillNotice({
      id: 'x',
      replica: preferred.tracked.endpoint.id,
      tokens: 17_000,
      salt: 'm@1',
      part: 'manual',
    });
    prefixCaches.recordPrefill(preferred.tracked.endpoint.address, 'm@1', 'manual');
    expect(place(longPrompt('manual'))?.tracked).to.equal(preferred.tracked);
    const short: RequestMetadata = {
      ...longPrompt('s'),
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
      ).to.not.equal(preferred.tracked);
    replicaTracker.applyPrefillNotice({
      id: 'x',
      replica: preferred.tracked.endpoint.id,
      tokens: 0,
      salt: null,
      part: null,
    });
    expect(preferred.tracked.otherEdgesTokens).to.equal(0);
  });
});

describe('replicas that fail some of their requests', () => {
  it('given a replica that fails a third of its requests, when prompts that prefer it arrive, then they are placed elsewhere, and return once it has not failed for a while', async () => {
    const { replicaTracker, place, world } = setUp();
    const preferred = place(longPrompt('manual'));
    if (preferred === null) throw new Error('no placement');
    for (let at = 0; at < 12; at += 1) {
      if (at % 3 === 0) replicaTracker.health.recordFailure(preferred.tracked);
      else replicaTracker.health.recordSuccess(preferred.tracked);
    }
    expect(place(longPrompt('manual'))?.tracked).to.not.equal(preferred.tracked);
    await world.run(25_000);
    expect(place(longPrompt('manual'))?.tracked).to.equal(preferred.tracked);
  });

  it('given a pool in which every replica fails, when a prompt is placed, then suspicion does not exclude all replicas', () => {
    const { replicaTracker, place } = setUp();
    for (const tracked of replicaTracker.all())
      for (let at = 0; at < 6; at += 1) replicaTracker.health.recordFailure(tracked);
    expect(place(longPrompt('manual'))).to.not.equal(null);
  });
});

describe('uploads to a cache store', () => {
  it('given prompts with the same prefix and short or long remainders, when they are placed, then only those with a short remainder are uploaded to the store', () => {
    const { prefixCaches, place } = setUp();
    prefixCaches.apply([{ address: '10.9.0.1:9000', isWhole: false, isHeard: true, events: [] }]);
    const withRemainder = (tokens: number): RequestMetadata => ({
      ...longPrompt('manual'),
      tokensIn: 13_300 + tokens,
      parts: [
        { id: 'manual', tokens: 13_300 },
        { id: 'own', tokens },
      ],
    });
    expect(place(withRemainder(1_000))?.store).to.equal('10.9.0.1:9000');
    expect(place(withRemainder(9_000))?.store).to.equal(null);
    prefixCaches.apply([
      {
        address: '10.9.0.1:9000',
        isWhole: false,
        isHeard: true,
        events: [{ isKept: true, salt: 'm@1', part: 'manual', tokens: 13_300 }],
      },
    ]);
    expect(place(withRemainder(1_000))?.store).to.equal(null);
    expect(place(withRemainder(1_000))?.holder).to.equal('10.9.0.1:9000');
  });

  it('given a store whose events are not followed, when a prompt is placed, then the store is neither pulled from nor uploaded to', () => {
    const { place } = setUp();
    expect(place(longPrompt('manual'))?.store).to.equal(null);
    expect(place(longPrompt('manual'))?.holder).to.not.equal('10.9.0.1:9000');
  });
});

describe("the edge's prefix index", () => {
  it('given a part that is evicted, when the event arrives, then it no longer counts, even where this edge observed it itself', () => {
    const { prefixCaches } = setUp();
    const applyEvent = (isKept: boolean, tokens: number) =>
      prefixCaches.apply([
        { address: 'x', isWhole: false, isHeard: true, events: [{ isKept, salt: 's', part: 'p', tokens }] },
      ]);
    prefixCaches.recordObserved('x', 's', 'p');
    expect(prefixCaches.isCached('x', 's', 'p', 500)).to.equal(true);
    applyEvent(false, 0);
    expect(prefixCaches.isCached('x', 's', 'p', 500)).to.equal(false);
    applyEvent(true, 500);
    expect(prefixCaches.isCached('x', 's', 'p', 500)).to.equal(true);
    applyEvent(false, 128);
    expect(prefixCaches.isCached('x', 's', 'p', 500)).to.equal(false);
  });

  it('given memory allocated in blocks of sixteen tokens, when a part of 13,300 tokens is reported as 13,296, then it counts as cached', () => {
    const { prefixCaches } = setUp();
    prefixCaches.apply([
      { address: 'x', isWhole: false, isHeard: true, events: [{ isKept: true, salt: 's', part: 'p', tokens: 13_296 }] },
    ]);
    expect(prefixCaches.isCached('x', 's', 'p', 13_300)).to.equal(true);
    expect(prefixCaches.isCached('x', 's', 'p', 20_000)).to.equal(false);
  });

  it('given an observation of this edge, when no event confirms it, then it is trusted for a limited time only', async () => {
    const { prefixCaches, world } = setUp();
    prefixCaches.recordObserved('x', 's', 'p');
    await world.run(2_900);
    expect(prefixCaches.isCached('x', 's', 'p', 1)).to.equal(true);
    await world.run(200);
    expect(prefixCaches.isCached('x', 's', 'p', 1)).to.equal(false);
  });
});
