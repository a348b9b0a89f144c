/** One seeded run of faults against the simulated fleet under traffic, checked against the invariants at its end. */
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
const firstFaultMs = 500;
const lastFaultShare = 0.7;
const faultsEndLimitMs = 90_000;
const lossLimitMs = 60_000;
const probeRatePerSecond = 20;
const probeMs = 2_000;
const lastCallsMs = 45_000;
const minServedShare = 0.8;

/** What one run did and found; equal for equal schedules. */
export interface FaultInjectionReport {
  readonly seed: number;
  /** A digest of all events of the simulation. */
  readonly digest: number;
  /** How often each kind of fault was injected. */
  readonly injected: Record<string, number>;
  readonly violations: Violation[];
  /** How many calls ended in which way. */
  readonly outcomeCounts: Record<string, number>;
  readonly calls: number;
  readonly permanentLoss: PermanentLossKind;
  readonly intervals: readonly RecoveredInterval[];
  readonly shares: readonly ServedShare[];
}

/** Runs once. The fleet stays readable afterwards. */
export class FaultInjectionRun {
  /** The fleet under test. */
  readonly fleet: SimFleet;
  /** How often each kind of fault was injected so far. */
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

  /** @throws Error where the fleet does not start, a fault does not end, or a loss cannot be brought about */
  readonly run = async (): Promise<FaultInjectionReport> => {
    const { fleet, checker, schedule } = this;
    await fleet.up();
    for (const tenant of tenants) checker.grant(keyOf(tenant), tenant);
    const permanentLoss = schedule.permanentLoss ?? this.randomLoss();
    await this.runFaults();
    await fleet.finish(injectPermanentLoss(this.context, permanentLoss), lossLimitMs);
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

  /** Starts traffic, injects the faults at random times, and runs until all of them have passed. */
  private readonly runFaults = async (): Promise<void> => {
    const { context, checker, schedule } = this;
    const { world } = this.fleet;
    const { spanMs, kinds, faultCount, ratePerSecond, longShare } = { ...defaults, kinds: faultKinds, ...schedule };
    checker.startTraffic(ratePerSecond, spanMs + recoveryLimitMs + extraTrafficMs, longShare, true);
    checker.startKeyedTraffic(keyedRatePerSecond, spanMs + recoveryLimitMs);
    for (let at = 0; at < faultCount; at += 1) {
      const kind = kinds[context.randomInt(kinds.length)] as FaultKind;
      const delayMs = context.randomBetween(firstFaultMs, spanMs * lastFaultShare);
      world.schedule(null, delayMs, () => this.inject(kind));
    }
    await world.run(spanMs);
    await world.until('the faults to pass', () => this.activeFaults.size === 0, faultsEndLimitMs);
    world.healAll();
  };

  private readonly inject = (kind: FaultKind): void => {
    const work = injections[kind](this.context);
    if (work === null) return;
    this.injected[kind] = (this.injected[kind] ?? 0) + 1;
    const from = this.fleet.world.time;
    const tracked = work.finally(() => {
      this.intervals.push({ kind, from, to: this.fleet.world.time });
      this.activeFaults.delete(tracked);
    });
    this.activeFaults.add(tracked);
  };

  /** After the time to settle, sends traffic and runs until the last call must have ended. */
  private readonly probeRecovery = async (): Promise<Violation[]> => {
    const { world } = this.fleet;
    const healedAt = world.time;
    await world.run(recoveryLimitMs);
    const probesStartedAt = world.time;
    this.checker.startTraffic(probeRatePerSecond, probeMs);
    await world.run(lastCallsMs);
    return [
      ...this.serviceViolations(healedAt, probesStartedAt),
      ...this.openCallViolations(),
      ...this.generationViolations(),
    ];
  };

  private readonly serviceViolations = (healedAt: number, probesStartedAt: number): Violation[] => {
    const probes = this.checker.calls.filter(
      (call) => call.sentAt >= probesStartedAt && call.sentAt < probesStartedAt + probeMs,
    );
    const served = probes.filter((call) => call.outcome === 'whole').length;
    if (served >= probes.length * minServedShare) return [];
    const sinceMs = Math.round(probesStartedAt - healedAt);
    const detail = `${served} of ${probes.length} whole ${sinceMs} ms after healing`;
    return [{ rule: 'service still mostly absent', detail }];
  };

  private readonly openCallViolations = (): Violation[] =>
    this.checker.calls
      .filter((call) => call.outcome === 'open')
      .map((call) => ({ rule: 'a call never ended', detail: call.requestId }));

  private readonly generationViolations = (): Violation[] => {
    const { gateways } = this.fleet;
    const generations = new Set(this.checker.liveGateways().map((at) => gateways[at]?.stateView.logIndex()));
    if (generations.size === 1) return [];
    const detail = `counters hold generations ${[...generations].join(', ')}`;
    return [{ rule: 'an accepted change is not in force', detail }];
  };
}
