/** The kinds of faults, and the schedule of a fault injection run. */
import { sampleWorkload } from '../workload/sampleDeployments.js';
import type { SimFleetOptions } from '../simulator/simFleet.js';

/** The kinds of temporary faults, as named in the option `--only`. */
export const faultKinds = [
  'replica crashes',
  'replica vanishes',
  'replica leaves',
  'replica errs',
  'replica cuts streams',
  'replica omits the end',
  'whole pool errs',
  'whole pool dies',
  'all machines die',
  'a zone is lost',
  'links between replicas slow',
  'replica claims other weights',
  'replica freezes',
  'counter dies',
  'counters die in a herd',
  'counter freezes',
  'counter is isolated',
  'counter hears a minority',
  'control node dies',
  'control nodes die in a herd',
  'control node loses its disk',
  'control node freezes',
  'control node is isolated',
  'control nodes are cut apart',
  'one-way cut',
  'disk stalls',
  'disk is full',
  'disk fails to sync',
  'clock jumps',
  'layout changes',
  'rival changes',
  'many lanes',
  'new weights',
  'key is revoked',
  'kv news is late',
  'kv news is lost',
  'disk is slow',
  'control node dies having confirmed',
  'control node returns empty elsewhere',
  'control node is swapped for a stranger',
  'replicas are replaced in turn',
  'replica is cut from some counters',
  'cache store is lost',
  'new client with a new tenant',
  'counter is told to stop',
  'control node is told to stop',
  'clock jumps over a freeze',
  'layout is probed',
] as const;

/** The kinds of permanent loss at the end of a run, as named in the option `--final`. */
export const permanentLossKinds = [
  'counter lost for good',
  'front of a zone lost for good',
  'control node lost for good',
  'replica lost for good',
  'replica silent for good',
  'none',
] as const;
/** See `permanentLossKinds`. */
export type PermanentLossKind = (typeof permanentLossKinds)[number];

/** See `faultKinds`. */
export type FaultKind = (typeof faultKinds)[number];

/** The schedule of a run; omitted fields have a default or are drawn from the seed. */
export interface FaultSchedule {
  readonly seed: number;
  /** The kinds from which faults are drawn; all by default. */
  readonly kinds?: readonly FaultKind[];
  /** Number of faults drawn; a fault whose target is claimed by another fault is skipped. */
  readonly faultCount?: number;
  readonly ratePerSecond?: number;
  /** Virtual milliseconds under faults; faults start in the first 70 %. */
  readonly spanMs?: number;
  readonly gatewayCount?: number;
  readonly replicaCount?: number;
  /** The share of requests with long prompts. */
  readonly longShare?: number;
  readonly permanentLoss?: PermanentLossKind;
  /** Changes to the fleet, with which tests break an invariant on purpose to check that it is detected. */
  readonly overrides?: Partial<SimFleetOptions>;
}

/** A small fleet, and the users' two sites at their full size. */
export const deploymentSizes = {
  small: {},
  stations: { gatewayCount: 9, replicaCount: 13, ratePerSecond: 190, longShare: 0.06 },
  sawmill: { gatewayCount: 9, replicaCount: 8, ratePerSecond: 180, longShare: 0.06 },
} as const satisfies Record<string, Partial<FaultSchedule>>;

const noIsolationSeedInterval = 3;

/** Returns the initial configuration of a run; with every third seed no tenant is isolated. */
export const initialConfiguration = (seed: number): Record<string, unknown> => {
  const config = sampleWorkload.config('weights-1');
  const tenants = config.tenants as Record<string, Record<string, unknown>>;
  const hasIsolation = seed % noIsolationSeedInterval !== 0;
  return {
    ...config,
    pools: { main: { weights: 'weights-1', slots: 8, store: 'store-1' }, app: { weights: 'app-1', slots: 32 } },
    tenants: {
      ...Object.fromEntries(
        Object.entries(tenants).map(([name, tenant]) => [
          name,
          { ...tenant, isolated: hasIsolation && tenant.isolated === true },
        ]),
      ),
      [sampleWorkload.probeTenant]: { tier: 'patient', lanes: ['query'] },
    },
  };
};
