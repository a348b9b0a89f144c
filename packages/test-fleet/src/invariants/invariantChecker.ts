/**
 * Checks a fleet from outside: sends traffic as callers do, records the responses to operators, and compares both with
 * the records of the replicas. It does not read the state of the fleet, so that it works with any implementation.
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
import type { DrainNotice, Grant, Observations, Probe, WeightsChange } from './observations.js';
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
    { sentAt: 0, acknowledgedAt: 0, pool: 'main', weights: 'weights-1' },
    { sentAt: 0, acknowledgedAt: 0, pool: 'app', weights: 'app-1' },
  ];
  readonly grantsByKey = new Map<string, Grant[]>();
  readonly probes: Probe[] = [];
  readonly drainNotices: DrainNotice[] = [];
  /** The log index at which each accepted change was acknowledged, by change id. */
  readonly acceptedChanges = new Map<string, number>();
  /** The ids of rejected changes. */
  readonly rejectedChangeIds = new Set<string>();
  /** The indices of the permanently lost gateways. */
  readonly lostGateways = new Set<number>();
  /** All calls in the order in which they were sent. */
  readonly calls: readonly Call[];
  private readonly sender: CallSender;
  private readonly generator: TrafficGenerator;

  /** @param salt distinguishes the request ids of several runs against the same replicas */
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
      onUnknownKey: (key) => void this.grantsByKey.set(key, []),
    });
    this.startTraffic = this.generator.start;
    this.startKeyedTraffic = this.generator.startKeyed;
  }

  /** Sends one request; see `CallSender`. */
  readonly send: CallSender['send'];
  /** Starts ordinary traffic; see `TrafficGenerator`. */
  readonly startTraffic: TrafficGenerator['start'];
  /** Starts traffic with idempotency keys; see `TrafficGenerator`. */
  readonly startKeyedTraffic: TrafficGenerator['startKeyed'];

  /** Returns the indices of the gateways that are not permanently lost. */
  readonly liveGateways = (): number[] =>
    this.fleet.gatewayHosts.map((_, at) => at).filter((at) => !this.lostGateways.has(at));

  /** Returns every run that any replica recorded so far. */
  readonly allRuns = (): ObservedRun[] => observedRuns(this.fleet);

  /** Records that a key is valid for a tenant from now on; the caller sets `validUntil` once the key is revoked. */
  readonly grant = (key: string, tenant: string): Grant => {
    const grant: Grant = { tenant, validFrom: this.fleet.now(), validUntil: Number.POSITIVE_INFINITY };
    this.grantsByKey.set(key, [...(this.grantsByKey.get(key) ?? []), grant]);
    return grant;
  };

  /** Returns the configuration change whose effect `probeEveryGateway` checks: a lane, granted to the probe tenant. */
  readonly probeChange = (lane: string, tier: string, repeat: 'once' | 'freely'): Record<string, unknown> => ({
    lanes: { [lane]: { pool: 'main', repeat } },
    tenants: { [sampleWorkload.probeTenant]: { tier, lanes: [lane] } },
  });

  /**
   * Sends one request for the lane to every live gateway; it must run with the priority of the tier or, unless
   * `shouldRun`, not at all.
   */
  readonly probeEveryGateway = (
    lane: string,
    change: string,
    shouldRun: boolean,
    tier: string,
    repeat: 'once' | 'freely',
  ): void => {
    const priority = sampleWorkload.tiers[tier as Tier];
    for (const gateway of this.liveGateways()) {
      const request: SampleRequest = {
        ...sampleWorkload.request(this.fleet.random, this.calls.length, 0),
        kind: lane as RequestKind,
        tenant: sampleWorkload.probeTenant,
        key: keyOf(sampleWorkload.probeTenant),
      };
      this.probes.push({ call: this.send(request, gateway), change, shouldRun, priority, repeat });
    }
  };

  /** Returns every violation so far. */
  readonly violations = (): Violation[] => {
    const evidence = new Evidence(this, this.fleet);
    return checks.flatMap((check) => check(evidence));
  };

  /** Returns the number of calls by outcome; rejections are counted by code. */
  readonly outcomeCounts = (): Record<string, number> => {
    const counts: Record<string, number> = {};
    for (const call of this.calls) {
      const key = call.outcome === 'denied' ? `denied ${call.code} ran=${call.ran}` : call.outcome;
      counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
  };
}
