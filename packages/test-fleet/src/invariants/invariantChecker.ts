/**
 * Checks a fleet from outside: sends traffic as callers do, notes what operators were told, and compares both with what
 * the replicas recorded. It sees nothing of the fleet's own state, so that it holds for any implementation.
 */
import { CallSender } from '../workload/callSender.js';
import type { Call } from '../workload/callSender.js';
import { keyOf, sampleWorkload } from '../workload/sampleDeployments.js';
import type { RequestKind, SampleRequest, Tier } from '../workload/sampleDeployments.js';
import { TrafficGenerator } from '../workload/trafficGenerator.js';
import { atMostOnceViolations } from './atMostOnce.js';
import { configurationViolations } from './configurationVisibility.js';
import { drainingViolations } from './draining.js';
import { Evidence, observedRuns } from './observations.js';
import type { Draining, Grant, Observations, Probe, WeightsChange } from './observations.js';
import type { ObservedFleet, ObservedRun } from './observedFleet.js';
import { responseViolations } from './responseIntegrity.js';
import { retryBudgetViolations } from './retryBudget.js';
import { tenantViolations } from './tenantIsolation.js';
import type { Violation } from './violation.js';

const checks: readonly ((evidence: Evidence) => Violation[])[] = [
  atMostOnceViolations,
  responseViolations,
  tenantViolations,
  configurationViolations,
  retryBudgetViolations,
  drainingViolations,
];

/** Collects the observations of one run and checks every invariant against them. */
export class InvariantChecker implements Observations {
  readonly weightsChanges: WeightsChange[] = [
    { offeredAt: 0, at: 0, pool: 'main', weights: 'weights-1' },
    { offeredAt: 0, at: 0, pool: 'app', weights: 'app-1' },
  ];
  readonly granted = new Map<string, Grant[]>();
  readonly probes: Probe[] = [];
  readonly drainingSince: Draining[] = [];
  /** The log position at which each accepted change was acknowledged, by its change id. */
  readonly acceptedIds = new Map<string, number>();
  /** The change ids that were rejected. */
  readonly refusedIds = new Set<string>();
  /** The indices of the gateways that never come back. */
  readonly lostGateways = new Set<number>();
  /** All calls in the order in which they were sent. */
  readonly calls: readonly Call[];
  private readonly sender: CallSender;
  private readonly generator: TrafficGenerator;

  /** @param salt tells the request ids of several runs against the same replicas apart */
  constructor(
    private readonly fleet: ObservedFleet,
    salt = '',
  ) {
    this.sender = new CallSender(fleet, salt);
    this.calls = this.sender.calls;
    this.send = this.sender.send;
    this.generator = new TrafficGenerator(this.sender, {
      now: fleet.now,
      random: fleet.random,
      after: fleet.after,
      liveGateways: () => this.liveGateways(),
      onUnknownKey: (key) => void this.granted.set(key, []),
    });
    this.traffic = this.generator.start;
    this.keyedTraffic = this.generator.startKeyed;
  }

  /** Sends one request; see `CallSender`. */
  readonly send: CallSender['send'];
  /** Starts ordinary traffic; see `TrafficGenerator`. */
  readonly traffic: TrafficGenerator['start'];
  /** Starts traffic under idempotency keys; see `TrafficGenerator`. */
  readonly keyedTraffic: TrafficGenerator['startKeyed'];

  /** The indices of the gateways that are not lost for good. */
  readonly liveGateways = (): number[] =>
    this.fleet.gatewayHosts.map((_, at) => at).filter((at) => !this.lostGateways.has(at));

  /** Every run that any replica recorded so far. */
  readonly allRuns = (): ObservedRun[] => observedRuns(this.fleet);

  /** Notes that a key is valid for a tenant from now on; the caller sets `to` once it is revoked. */
  readonly grant = (key: string, tenant: string): Grant => {
    const grant: Grant = { tenant, from: this.fleet.now(), to: Number.POSITIVE_INFINITY };
    this.granted.set(key, [...(this.granted.get(key) ?? []), grant]);
    return grant;
  };

  /** The change of the configuration that `probeEveryGateway` looks for. */
  readonly probeChange = (lane: string, tier: string, repeat: 'once' | 'freely'): Record<string, unknown> => ({
    lanes: { [lane]: { pool: 'main', repeat } },
    tenants: { [sampleWorkload.prober]: { tier, lanes: [lane] } },
  });

  /** Sends one request for the lane to every live gateway, which must run at the tier or, if not wanted, not at all. */
  readonly probeEveryGateway = (
    lane: string,
    change: string,
    isWanted: boolean,
    tier: string,
    repeat: 'once' | 'freely',
  ): void => {
    const priority = sampleWorkload.tiers[tier as Tier];
    for (const gateway of this.liveGateways()) {
      const request: SampleRequest = {
        ...sampleWorkload.request(this.fleet.random, this.calls.length, 0),
        kind: lane as RequestKind,
        tenant: sampleWorkload.prober,
        key: keyOf(sampleWorkload.prober),
      };
      this.probes.push({ call: this.send(request, gateway), change, isWanted, priority, repeat });
    }
  };

  /** Every breach of a rule so far. */
  readonly violations = (): Violation[] => {
    const evidence = new Evidence(this, this.fleet);
    return checks.flatMap((check) => check(evidence));
  };

  /** How many calls ended in which way. */
  readonly metrics = (): Record<string, number> => {
    const counts: Record<string, number> = {};
    for (const call of this.calls) {
      const key = call.outcome === 'denied' ? `denied ${call.code} ran=${call.ran}` : call.outcome;
      counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
  };
}
