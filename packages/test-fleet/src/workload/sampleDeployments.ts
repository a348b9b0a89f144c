/** Sample deployments: the users' two sites, with their tenants, configuration and requests, generated from a seed. */
import { createHash } from 'node:crypto';

/** Size of a site and its rate of requests. */
export interface SampleDeployment {
  readonly name: string;
  readonly replicaCount: number;
  readonly ratePerSecond: number;
}

/** The users' two sites by name. */
export const sampleDeployments: Record<string, SampleDeployment> = {
  stations: { name: 'stations', replicaCount: 13, ratePerSecond: 190 },
  sawmill: { name: 'sawmill', replicaCount: 8, ratePerSecond: 180 },
};

/** Returns a generator of pseudo-random numbers in [0, 1) (mulberry32); equal seeds give equal sequences. */
export const seededRandom = (seed: number): (() => number) => {
  let state = seed >>> 0 || 1;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
};

const pseudoText = (label: string, bytes: number): string => {
  const parts: string[] = [];
  for (let at = 0, size = 0; size < bytes; at += 1) {
    const word = createHash('sha256').update(`${label}:${at}`).digest('hex');
    parts.push(word);
    size += word.length + 1;
  }
  return parts.join(' ').slice(0, bytes);
};

const tenantNames = ['north', 'south', 'east', 'west', 'harbor', 'depot', 'yard', 'mill'];
const isolatedTenants = new Set(['depot', 'mill']);
const longPrefixes = [0, 1, 2, 3, 4, 5].map((at) => pseudoText(`manual-${at}`, 24_000));
const shortPrefix = pseudoText('assistant', 640);

/** The kinds of requests; each kind has a lane of the same name. */
export const requestKinds = ['confirm', 'query', 'diagnose', 'book'] as const;
/** See `requestKinds`. */
export type RequestKind = (typeof requestKinds)[number];

/** One request of a tenant. */
export interface SampleRequest {
  readonly kind: RequestKind;
  readonly tenant: string;
  readonly key: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly tier: string;
}

/** Returns the initial API key of a tenant. */
export const keyOf = (tenant: string): string => `key-of-${tenant}-0001`;

const tierOf = (tenant: string): string => (tenantNames.indexOf(tenant) < 4 ? 'prompt' : 'steady');

/** The priority of each tier; lower values run first. */
const tiers = { prompt: 0, steady: 1, patient: 3 } as const;

/** A tier of the sample deployments. */
export type Tier = keyof typeof tiers;

/** Tenants, tiers, the configuration with the given weights, and requests as the sites send them. */
export const sampleWorkload = {
  tenantNames,
  tiers,
  probeTenant: 'prober',
  config: (weights: string): Record<string, unknown> => ({
    tiers: {
      prompt: { rank: 0, horizonMs: 10_000 },
      steady: { rank: 1, horizonMs: 20_000 },
      patient: { rank: 3, horizonMs: 60_000, share: 0.5 },
    },
    pools: { main: { weights, slots: 8 }, app: { weights: 'app-1', slots: 32 } },
    lanes: {
      confirm: { pool: 'main', repeat: 'once' },
      query: { pool: 'main', repeat: 'freely' },
      diagnose: { pool: 'main', repeat: 'freely' },
      book: { pool: 'app', repeat: 'once' },
    },
    tenants: Object.fromEntries(
      tenantNames.map((name) => [
        name,
        { tier: tierOf(name), isolated: isolatedTenants.has(name), lanes: [...requestKinds] },
      ]),
    ),
  }),
  request: (random: () => number, at: number, longShare = 0.06): SampleRequest => {
    const draw = random();
    const kind: RequestKind =
      draw < longShare
        ? 'diagnose'
        : draw < longShare + 0.04
          ? 'book'
          : draw < longShare + 0.64 * (1 - longShare)
            ? 'confirm'
            : 'query';
    const isLargeTenant = random() < 0.5;
    const tenant = (
      isLargeTenant ? tenantNames[Math.floor(random() * 2)] : tenantNames[Math.floor(random() * tenantNames.length)]
    ) as string;
    const tail = ` ticket ${at} ${pseudoText(`tail-${at}`, 64)}`;
    const prompt =
      kind === 'diagnose'
        ? `${longPrefixes[Math.floor(random() * longPrefixes.length)]}${tail}`
        : `${shortPrefix}${tail}`;
    return { kind, tenant, key: keyOf(tenant), prompt, maxTokens: kind === 'diagnose' ? 24 : 8, tier: tierOf(tenant) };
  },
};
