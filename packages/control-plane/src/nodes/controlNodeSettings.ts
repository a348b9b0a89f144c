/**
 * Timing of a control node's consensus and leases. The model checker uses it too, so that it explores the same values.
 */
import type { LeaseTerms } from '@martenworks/cluster-membership';
import type { Acceptor } from '../consensus/acceptor.js';
import type { ConsensusTiming } from '../consensus/consensusOptions.js';

const leaseMs = 1_600;
const leaseMarginMs = 400;
const fencesPerLogIndex = 1_000;

/** Settings that a deployment cannot change. */
export const controlNodeSettings = {
  /** How long a confirmed read may take, in milliseconds. */
  confirmTimeoutMs: 700,

  /** Name of the lease whose holder loads weights onto replicas. */
  weightsLease: 'weights',

  /** Intervals and timeouts of the consensus group. */
  consensusTiming: {
    voteTimeoutMs: 800,
    bootstrapIntervalMs: 150,
    membershipIntervalMs: 300,
    keepaliveIntervalMs: 400,
    keepaliveTimeoutMs: 900,
    leaseIntervalMs: 300,
    leaseTimeoutMs: 500,
    replacementDelayMs: 2_500,
  } satisfies ConsensusTiming,

  /**
   * Lease terms, with a gap of `orderGapMs` milliseconds between successive holders of a lease. Fencing tokens start
   * above all that may have been granted at earlier log indexes, so that they increase even if every lease log is lost.
   */
  leaseTerms: (acceptor: Acceptor, orderGapMs: number): LeaseTerms => ({
    leaseMs,
    marginMs: leaseMarginMs,
    gapMs: orderGapMs,
    fenceFloor: () => (acceptor.committedState()?.logIndex ?? 0) * fencesPerLogIndex,
  }),
};
