/** Sample routing tables, endpoint lists and prefix-cache events of any size for the probes of edges. */
import type { BackendClient, PrefixCacheEvent, ReplicaEndpoint, RoutingTable } from '@martenworks/core-types';
import { ok } from 'neverthrow';
import { poolCount } from './fleetSize.js';
import { range } from './measuring.js';
import { sampleData } from './sampleData.js';

const routeCount = 40;
const slots = 32;
const largePartTokens = 512;

const modelOf = (at: number): string => `model-${at % poolCount}`;

const routes = (): RoutingTable['routes'] =>
  range(routeCount).map((at) => ({
    name: `way-${at}`,
    host: `host-${at % 8}.example`,
    pathPrefix: `/v1/${at}/`,
    kind: 'stream' as const,
    timeoutMs: 6_000,
    latencyTargetMs: 820,
    rank: at % 9,
    shares: [{ pool: modelOf(at), share: 1 }],
    maxAttempts: 3,
    isPublic: false,
    isResumable: true,
    maxEventGapMs: 56,
  }));

const pools = (): RoutingTable['pools'] =>
  range(poolCount).map((at) => ({
    name: modelOf(at),
    connectionLimit: 170,
    engine: {
      slots,
      cacheTokens: 150_000,
      tokenBytes: 163_840,
      linkMbps: 1_100_000,
      inFlight: 4,
      models: [modelOf(at)],
    },
  }));

const customers = (count: number): RoutingTable['customers'] =>
  range(count).map((at) => ({
    name: `tenant-${String(at).padStart(4, '0')}`,
    keyHashes: [at.toString(16).padStart(64, '0')],
    rank: at % 9,
    isIsolated: at % 100 === 0,
  }));

const routingTable = (customerCount: number): RoutingTable => ({
  routes: routes(),
  pools: pools(),
  stores: [],
  customers: customers(customerCount),
  limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerMs: 5_000, idleMs: 30_000 },
});

const endpoints = (count: number): ReplicaEndpoint[] =>
  range(count).map((at) => ({
    id: `replica-${String(at).padStart(4, '0')}-1`,
    pool: modelOf(at),
    address: `10.1.${at >> 8}.${at & 255}:8000`,
    zone: `zone-${at % 13}`,
    slots,
    isLeaving: false,
    weights: { [modelOf(at)]: 1 },
  }));

/** Returns a client whose replicas are idle or never respond, except for the calls in `overrides`. */
const backendClient = (overrides: Partial<BackendClient>): BackendClient => ({
  listReplicas: async () => ok([]),
  requestWeightsLoad: () => new Promise(() => {}),
  readReport: async () => ok({ weights: {}, isBusy: true }),
  prefixCacheEvents: () => new Promise(() => {}),
  prefixCacheListing: () => new Promise(() => {}),
  ...overrides,
});

const cacheEvent = (at: number): PrefixCacheEvent => ({
  isKept: true,
  salt: `${modelOf(at)}@1`,
  part: sampleData.blockName(at),
  tokens: largePartTokens,
});

/** Each function returns equal data for equal arguments. */
export const routeSamples = { modelOf, routingTable, endpoints, backendClient, cacheEvent };
