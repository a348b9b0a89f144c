/** A seeded fault injection run on the simulated fleet under traffic, checked against the invariants at its end. */
import { InvariantChecker } from '../invariants/invariantChecker.js';
import { stateViolations } from '../invariants/stateInvariants.js';
import type { Violation } from '../invariants/violation.js';
import { SimFleet } from '../simulator/simFleet.js';
import { keyOf, sampleWorkload } from '../workload/sampleDeployments.js';
import { FaultContext } from './faultContext.js';
import { faultKinds, initialConfiguration, permanentLossKinds } from './faultSchedule.js';
import type { FaultKind, FaultSchedule, PermanentLossKind } from './faultSchedule.js';
import { injections } from './injections.js';
import { injectPermanentLoss } from './permanentLosses.js';
import { recoveredIntervals, servedShares, recoveryLimitMs } from './serviceReport.js';
import type { FaultInterval, RecoveredInterval, ServedShare } from './serviceReport.js';

const defaults = { gatewayCount: 4, replicaCount: 6, spanMs: 20_000, faultCount: 6, ratePerSecond: 25, longShare: 0.1 };
const tenants = [...sampleWorkload.tenantNames, sampleWorkload.probeTenant];
const keyedRatePerSecond = 4;
const extraTrafficMs = 3_000;
const firstFaultDelayMs = 500;
const lastFaultStartShare = 0.7;
const faultsEndTimeoutMs = 90_000;
const lossTimeoutMs = 60_000;
const probeRatePerSecond = 20;
const probeMs = 2_000;
const maxCallDurationMs = 45_000;
const minServedShare = 0.8;

/** The result of one run; equal for equal schedules. */
export interface FaultInjectionReport {
  readonly seed: number;
  /** A digest of all events of the simulation. */
  readonly digest: number;
  /** Number of injections by kind of fault. */
  readonly injected: Record<string, number>;
  readonly violations: Violation[];
  /** Number of calls by outcome. */
  readonly outcomeCounts: Record<string, number>;
  readonly calls: number;
  readonly permanentLoss: PermanentLossKind;
  readonly intervals: readonly RecoveredInterval[];
  readonly shares: readonly ServedShare[];
}

/** Executes one schedule, once. The fleet can still be inspected afterwards. */
export class FaultInjectionRun {
  /** The fleet under test. */
  readonly fleet: SimFleet;
  /** Number of injections so far by kind of fault. */
  readonly injected: Record<string, number> = {};
  private readonly checker: InvariantChecker;
  private readonly context: FaultContext;
  private readonly activeFaults = new Set<Promise<void>>();
  private readonly intervals: FaultInterval[] = [];

  constructor(private readonly schedule: FaultSchedule) {
    this.fleet = new SimFleet({
      seed: schedule.seed,
      gatewayCount: schedule.gatewayCount ?? defaults.gatewayCount,
      replicaCount: schedule.replicaCount ?? defaults.replicaCount,
      hasStore: true,
      config: initialConfiguration(schedule.seed),
      tenants,
      ...schedule.overrides,
    });
    this.checker = new InvariantChecker(this.fleet);
    this.context = new FaultContext(this.fleet, this.checker);
  }

  /**
   * Runs the schedule.
   *
   * @throws Error if the fleet does not start, a fault does not end, or a loss cannot be injected
   */
  readonly run = async (): Promise<FaultInjectionReport> => {
    const { fleet, checker, schedule } = this;
    await fleet.up();
    for (const tenant of tenants) checker.grant(keyOf(tenant), tenant);
    const permanentLoss = schedule.permanentLoss ?? this.randomLoss();
    await this.runFaults();
    await fleet.finish(injectPermanentLoss(this.context, permanentLoss), lossTimeoutMs);
    const recovery = await this.probeRecovery();
    return {
      seed: schedule.seed,
      digest: fleet.world.digest,
      injected: this.injected,
      violations: [
        ...checker.violations(),
        ...stateViolations(fleet, checker),
        ...this.context.violations,
        ...recovery,
      ],
      outcomeCounts: checker.outcomeCounts(),
      calls: checker.calls.length,
      permanentLoss,
      intervals: recoveredIntervals(checker.calls, this.intervals),
      shares: servedShares(checker.calls, this.intervals),
    };
  };

  private readonly randomLoss = (): PermanentLossKind =>
    permanentLossKinds[this.context.randomInt(permanentLossKinds.length)] as PermanentLossKind;

  /** Starts traffic, injects the faults at random times, and runs until all of them have ended. */
  private readonly runFaults = async (): Promise<void> => {
    const { context, checker, schedule } = this;
    const { world } = this.fleet;
    const { spanMs, kinds, faultCount, ratePerSecond, longShare } = { ...defaults, kinds: faultKinds, ...schedule };
    checker.startTraffic(ratePerSecond, spanMs + recoveryLimitMs + extraTrafficMs, longShare, true);
    checker.startKeyedTraffic(keyedRatePerSecond, spanMs + recoveryLimitMs);
    for (let at = 0; at < faultCount; at += 1) {
      const kind = kinds[context.randomInt(kinds.length)] as FaultKind;
      const delayMs = context.randomBetween(firstFaultDelayMs, spanMs * lastFaultStartShare);
      world.schedule(null, delayMs, () => this.inject(kind));
    }
    await world.run(spanMs);
    await world.until('the faults to end', () => this.activeFaults.size === 0, faultsEndTimeoutMs);
    world.healAll();
  };

  private readonly inject = (kind: FaultKind): void => {
    const injection = injections[kind](this.context);
    if (injection === null) return;
    this.injected[kind] = (this.injected[kind] ?? 0) + 1;
    const from = this.fleet.world.time;
    const tracked = injection.finally(() => {
      this.intervals.push({ kind, from, to: this.fleet.world.time });
      this.activeFaults.delete(tracked);
    });
    this.activeFaults.add(tracked);
  };

  /** After the recovery time, sends traffic and runs until the last call must have ended. */
  private readonly probeRecovery = async (): Promise<Violation[]> => {
    const { world } = this.fleet;
    const faultsEndedAt = world.time;
    await world.run(recoveryLimitMs);
    const probesStartedAt = world.time;
    this.checker.startTraffic(probeRatePerSecond, probeMs);
    await world.run(maxCallDurationMs);
    return [
      ...this.serviceViolations(faultsEndedAt, probesStartedAt),
      ...this.openCallViolations(),
      ...this.logIndexViolations(),
    ];
  };

  private readonly serviceViolations = (faultsEndedAt: number, probesStartedAt: number): Violation[] => {
    const probes = this.checker.calls.filter(
      (call) => call.sentAt >= probesStartedAt && call.sentAt < probesStartedAt + probeMs,
    );
    const served = probes.filter((call) => call.outcome === 'whole').length;
    if (served >= probes.length * minServedShare) return [];
    const sinceMs = Math.round(probesStartedAt - faultsEndedAt);
    const detail = `${served} of ${probes.length} calls complete ${sinceMs} ms after the faults ended`;
    return [{ rule: 'service did not recover', detail }];
  };

  private readonly openCallViolations = (): Violation[] =>
    this.checker.calls
      .filter((call) => call.outcome === 'open')
      .map((call) => ({ rule: 'a call never ended', detail: call.requestId }));

  private readonly logIndexViolations = (): Violation[] => {
    const { gateways } = this.fleet;
    const logIndexes = new Set(this.checker.liveGateways().map((at) => gateways[at]?.stateView.logIndex()));
    if (logIndexes.size === 1) return [];
    const detail = `gateways have log indexes ${[...logIndexes].join(', ')}`;
    return [{ rule: 'an accepted change is not in effect', detail }];
  };
}
