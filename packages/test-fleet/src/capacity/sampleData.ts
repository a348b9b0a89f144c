/** Sample data of any size for the components that the probes measure. */
import { stateMachine } from '@martenworks/core-types';
import type {
  CommittedState,
  Change,
  KvCacheEvent,
  GatewayConfig,
  Member,
  ReplicaRecord,
  Tenant,
} from '@martenworks/core-types';
import { protocolVersion } from '@martenworks/peer-transport';
import type { Hello } from '@martenworks/peer-transport';
import { poolCount } from './fleetSize.js';

const helloOf = (role: Hello['role'], at: number, address: string): Hello => ({
  release: protocolVersion,
  name: `${role}-${at}`,
  role,
  address,
  http: `10.0.${at >> 8}.${at & 255}:7101`,
  zone: `region-${at % 6}-zone-${at % 13}`,
  incarnation: `incarnation-${String(at).padStart(5, '0')}`,
});

const records = (count: number): ReplicaRecord[] =>
  Array.from({ length: count }, (_, at) => ({
    name: `replica-${String(at).padStart(4, '0')}`,
    kind: 'replica',
    incarnation: 1,
    state: 'ready',
    pool: `model-${at % poolCount}`,
    address: `10.1.${at >> 8}.${at & 255}:8000`,
    zone: `region-${at % 6}-zone-${at % 13}`,
    slots: 32,
    born: 0,
    sides: ['*shared*'],
  }));

const configOf = (tenantCount: number, isolated: number, configVersion = 0): GatewayConfig => {
  const names = Array.from({ length: poolCount }, (_, at) => `model-${at}`);
  const tenantAt = (at: number): Tenant => ({
    tier: at % 3 === 0 ? 'prompt' : 'steady',
    isolated: at < isolated,
    lanes: [`lane-${at % poolCount}`, `lane-${(at + 1) % poolCount}`],
    ratePerSecond: 10 + configVersion,
  });
  return {
    tiers: { prompt: { rank: 0, share: 1, horizonMs: 30_000 }, steady: { rank: 1, share: 0.8, horizonMs: 30_000 } },
    pools: Object.fromEntries(
      names.map((name) => [
        name,
        {
          weights: `${name}-weights-1`,
          slots: 32,
          extraAllowance: 18,
          prefillTokensPerMs: 8,
          pullTokensPerMs: 80,
          store: null,
        },
      ]),
    ),
    lanes: Object.fromEntries(names.map((pool, at) => [`lane-${at}`, { pool, repeat: 'freely' as const }])),
    tenants: Object.fromEntries(
      Array.from({ length: tenantCount }, (_, at) => [`tenant-${String(at).padStart(4, '0')}`, tenantAt(at)]),
    ),
  };
};

const storedChangeIds = 4_096;

const stateOf = (tenantCount: number, isolated: number, members: readonly Member[]): CommittedState => ({
  ...stateMachine.initialState(members),
  logIndex: 5_000,
  configLogIndex: 5_000,
  config: configOf(tenantCount, isolated),
  weightsSince: Object.fromEntries(Array.from({ length: poolCount }, (_, at) => [`model-${at}`, 0])),
  keys: Object.fromEntries(
    Array.from({ length: tenantCount }, (_, at) => [
      at.toString(16).padStart(64, '0'),
      { tenant: `tenant-${String(at).padStart(4, '0')}` },
    ]),
  ),
  changeIds: Object.fromEntries(
    Array.from({ length: storedChangeIds }, (_, at) => [
      `change-${at}`,
      { logIndex: at, digest: at.toString(16).padStart(32, '0') },
    ]),
  ),
});

const blockName = (at: number): string => `5a5a5a5a5a5a${at.toString(16).padStart(12, '0')}`;

const stored = (replica: string, seq: number, blocks: readonly string[]): KvCacheEvent => ({
  replica,
  incarnation: 1,
  seq,
  kind: 'stored',
  tenant: null,
  blocks,
});

const configChange = (tenantCount: number, configVersion: number, base: number): Change => ({
  id: `push-${configVersion}`,
  digest: configVersion.toString(16).padStart(32, '0'),
  body: { kind: 'config', config: configOf(tenantCount, 0, configVersion), base },
});

/** Each function returns equal data for equal arguments. */
export const sampleData = { helloOf, records, configOf, configChange, stateOf, blockName, stored };
