/** The kinds of faults, and what a fault-injection run is made of. */
import { sampleWorkload } from '../workload/sampleDeployments.js';
import type { SimFleetOptions } from '../simulator/simFleet.js';

/** Every kind of fault that passes again, as the user names it in `--only`. */
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

/** What may be lost for good at the end of a run, as the user names it in `--final`. */
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

/** A run; what is left out has a default or is drawn by the seed. */
export interface FaultSchedule {
  readonly seed: number;
  /** The kinds that are drawn from; all by default. */
  readonly kinds?: readonly FaultKind[];
  /** How many faults are drawn; those that another fault blocks are left out. */
  readonly faultCount?: number;
  readonly ratePerSecond?: number;
  /** Virtual milliseconds in the first part of which faults begin. */
  readonly spanMs?: number;
  readonly gatewayCount?: number;
  readonly replicaCount?: number;
  /** The share of requests with long prompts. */
  readonly longShare?: number;
  readonly permanentLoss?: PermanentLossKind;
  /** Changes the fleet, so that tests can break the product and see that it is noticed. */
  readonly overrides?: Partial<SimFleetOptions>;
}

/** A small fleet, and the users' two sites at their full size. */
export const deploymentSizes = {
  small: {},
  stations: { gatewayCount: 9, replicaCount: 13, ratePerSecond: 190, longShare: 0.06 },
  sawmill: { gatewayCount: 9, replicaCount: 8, ratePerSecond: 180, longShare: 0.06 },
} as const satisfies Record<string, Partial<FaultSchedule>>;

const noIsolationSeedInterval = 3;

/** The configuration that runs begin with; with one seed in three no tenant is isolated. */
export const initialConfiguration = (seed: number): Record<string, unknown> => {
  const config = sampleWorkload.config('weights-1');
  const tenants = config.tenants as Record<string, Record<string, unknown>>;
  const isApart = seed % noIsolationSeedInterval !== 0;
  return {
    ...config,
    pools: { main: { weights: 'weights-1', slots: 8, store: 'store-1' }, app: { weights: 'app-1', slots: 32 } },
    tenants: {
      ...Object.fromEntries(
        Object.entries(tenants).map(([name, tenant]) => [
          name,
          { ...tenant, isolated: isApart && tenant.isolated === true },
        ]),
      ),
      [sampleWorkload.probeTenant]: { tier: 'patient', lanes: ['query'] },
    },
  };
};
