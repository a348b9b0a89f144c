/** Timing of a control node's consensus and leases, shared with the model check so that it explores the same values. */
import type { LeaseTerms } from '@martenworks/cluster-membership';
import type { Acceptor } from '../consensus/acceptor.js';
import type { ConsensusPace } from '../consensus/consensusOptions.js';

const leaseMs = 1_600;
const leaseMarginMs = 400;
const fencesPerLogIndex = 1_000;

/** Settings that a deployment cannot change. */
export const controlNodeSettings = {
  /** How long a confirmed read may take, in milliseconds. */
  confirmTimeoutMs: 700,

  /** Name of the lease whose holder loads weights. */
  weightsLease: 'weights',

  /** Timing of the consensus group's steps. */
  consensusPace: {
    voteTimeoutMs: 800,
    foundingMs: 150,
    upkeepMs: 300,
    keepaliveIntervalMs: 400,
    keepaliveTimeoutMs: 900,
    leaseIntervalMs: 300,
    leaseTimeoutMs: 500,
    strangerWaitMs: 2_500,
  } satisfies ConsensusPace,

  /**
   * Terms of the leases; `orderGapMs` milliseconds lie between two holders of one. Fencing tokens start above all that
   * may have been granted at earlier log indexes, so that they rise across a loss of every lease log.
   */
  leaseTerms: (acceptor: Acceptor, orderGapMs: number): LeaseTerms => ({
    leaseMs,
    marginMs: leaseMarginMs,
    gapMs: orderGapMs,
    fenceFloor: () => (acceptor.agreed()?.logIndex ?? 0) * fencesPerLogIndex,
  }),
};
