/** Placement on an edge, and building the view of a new routing table. */
import { machine } from '@martenworks/core-types';
import type { PromptPart } from '@martenworks/core-types';
import { ReplicaTracker, PrefixCacheIndex, ReplicaSelector } from '@martenworks/edge-proxy';
import type { PlacementQuery } from '@martenworks/edge-proxy';
import { RoutingTableIndexer, salts } from '@martenworks/route-table';
import { poolCount, poolSizes, tenantCounts } from '../fleetSize.js';
import { meanCpuMs, meanCpuUs, repeat } from '../measuring.js';
import { routeSamples } from '../routeSamples.js';
import { defineSeries, measurementsOf } from '../series.js';
import type { Probe } from './probe.js';

const placementRepeats = 5;
const placementsPerRepeat = 50;
const viewRepeats = 3;
const viewsPerRepeat = 5;
const fewCustomers = 10;
const waitMs = 50;
const largePart: PromptPart = { id: 'a'.repeat(24), tokens: 13_300 };
const smallPart: PromptPart = { id: 'b'.repeat(24), tokens: 3_720 };
const model = routeSamples.modelOf(0);

const defineAll = () =>
  defineSeries({
    placement: 'way-place/cpu',
    view: 'way-place/view',
  });

type PlacementSeries = ReturnType<typeof defineAll>;

/** Creates a selector where one replica in three caches the large part of the prompt. */
const selectorFor = (replicas: number): ReplicaSelector => {
  const list = routeSamples.endpoints(replicas * poolCount);
  const replicaTracker = new ReplicaTracker(machine.clock);
  replicaTracker.applyEndpoints({ isWhole: true, put: list, gone: [] });
  const prefixCaches = new PrefixCacheIndex(machine.clock);
  const event = { isKept: true, salt: salts.of(model, 1, null), part: largePart.id, tokens: largePart.tokens };
  for (const [at, { address }] of list.filter(({ pool }) => pool === model).entries())
    if (at % 3 === 0) prefixCaches.apply([{ address, isWhole: false, isHeard: true, events: [event] }]);
  return new ReplicaSelector(replicaTracker, prefixCaches, machine.clock, {
    of: () => ({ version: 1, sinceMs: 10_000 }),
    startWindowMs: () => Infinity,
  });
};

const placementQuery = (): PlacementQuery => ({
  pool: model,
  metadata: {
    id: 'order',
    key: null,
    remainingMs: 6_000,
    model,
    tokensIn: largePart.tokens + smallPart.tokens,
    tokensOut: 247,
    parts: [largePart, smallPart],
  },
  customer: null,
  avoided: new Set(),
  neededMs: 1_800,
});

const measurePlacement = (series: PlacementSeries, replicas: number): Promise<void> => {
  const selector = selectorFor(replicas);
  const view = new RoutingTableIndexer().view(1, routeSamples.routingTable(fewCustomers));
  const query = placementQuery();
  return repeat(placementRepeats, 1, (isMeasured) => {
    const us = meanCpuUs(placementsPerRepeat, () => void selector.place(query, view, waitMs));
    if (isMeasured) series.placement.add(replicas, us);
  });
};

const measureView = (series: PlacementSeries, customers: number): Promise<void> => {
  const table = routeSamples.routingTable(customers);
  const indexer = new RoutingTableIndexer();
  return repeat(viewRepeats, 1, (isMeasured) => {
    const ms = meanCpuMs(viewsPerRepeat, (at) => void indexer.view(at, table));
    if (isMeasured) series.view.add(customers, ms);
  });
};

/** Measures placement by the number of replicas in a pool, and views by the number of customers. */
export const routePlacementProbe: Probe = {
  name: 'way-place',
  measure: async () => {
    const series = defineAll();
    for (const replicas of poolSizes) await measurePlacement(series, replicas);
    for (const customers of tenantCounts) await measureView(series, customers);
    return measurementsOf(series);
  },
};
