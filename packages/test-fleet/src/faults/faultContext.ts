/**
 * The context of fault injections: the fleet, seeded randomness, virtual time, and claims on the parts under a fault.
 */
import type { InvariantChecker } from '../invariants/invariantChecker.js';
import type { Violation } from '../invariants/violation.js';
import type { SimFleet } from '../simulator/simFleet.js';
import type { SimWorld } from '../simulator/simWorld.js';
import type { FaultKind } from './faultSchedule.js';
import { OperatorClient } from './operatorClient.js';

const voterPollMs = 100;
const controlNodes = [0, 1, 2];

/** Counters with which injections generate unique names. */
interface RunState {
  weightsCount: number;
  probeCount: number;
  /** The lane that the probe tenant was granted last. */
  lastProbedLane: string;
  replacementCount: number;
}

/** Injects one fault and ends it; returns null if the target is claimed by another fault. */
type Injection = (context: FaultContext) => Promise<void> | null;

/** The injections of one module by kind of fault. */
export type Injections = { readonly [Kind in FaultKind]?: Injection };

/**
 * Shared by all injections of a run. All randomness comes from the seed, so the order of random draws must not change.
 */
export class FaultContext {
  /** The simulated world of the fleet. */
  readonly world: SimWorld;
  /** The client with which injections act as operator and platform. */
  readonly operator: OperatorClient;
  /** Violations that injections detected themselves. */
  readonly violations: Violation[] = [];
  /** Counters shared by the injections. */
  readonly state: RunState = { weightsCount: 1, probeCount: 0, lastProbedLane: 'query', replacementCount: 0 };
  private readonly claimed = new Set<string>();

  constructor(
    /** The fleet under test. */
    readonly fleet: SimFleet,
    /** Collects the observations of the run. */
    readonly checker: InvariantChecker,
  ) {
    this.world = fleet.world;
    this.operator = new OperatorClient(fleet, checker, this.violations);
  }

  /** Returns a random number in [0, 1). */
  readonly random = (): number => this.world.random();

  /** Returns a random integer in [0, `count`). */
  readonly randomInt = (count: number): number => Math.floor(this.random() * count);

  /** Returns a random number in [`low`, `high`). */
  readonly randomBetween = (low: number, high: number): number => low + this.random() * (high - low);

  /** Waits for the given virtual milliseconds. */
  readonly wait = (delayMs: number): Promise<void> => this.world.sleep(delayMs);

  /** Waits for a random number of virtual milliseconds. */
  readonly waitBetween = (lowMs: number, highMs: number): Promise<void> => this.wait(this.randomBetween(lowMs, highMs));

  /** Claims a part of the fleet for one fault; returns false if another fault has claimed it. */
  readonly claim = (part: string): boolean => {
    if (this.claimed.has(part)) return false;
    this.claimed.add(part);
    return true;
  };

  /** Releases a claimed part. */
  readonly release = (part: string): void => void this.claimed.delete(part);

  /** Runs `inject` with a part claimed; returns null if another fault has claimed it. */
  readonly withClaim = (part: string, inject: () => Promise<void>): Promise<void> | null =>
    this.claim(part) ? inject().finally(() => this.release(part)) : null;

  /** Claims the unclaimed gateways among the given ones, and returns them. */
  readonly claimGateways = (among: readonly number[]): number[] => among.filter((at) => this.claim(`gateway ${at}`));

  /** Claims the unclaimed control nodes among the given ones, and returns them. */
  readonly claimControlNodes = (among: readonly number[] = controlNodes): number[] =>
    among.filter((at) => this.claim(`control node ${at}`));

  /** Releases a claimed gateway. */
  readonly releaseGateway = (at: number): void => this.release(`gateway ${at}`);

  /** Releases a claimed control node. */
  readonly releaseControlNode = (at: number): void => this.release(`control node ${at}`);

  /** Returns the index of every gateway. */
  readonly gateways = (): number[] => this.fleet.gatewayHosts.map((_, at) => at);

  /** Injects a fault into a random replica of any pool. */
  readonly withRandomReplica = (inject: (name: string) => Promise<void>): Promise<void> | null => {
    const names = [...this.fleet.replicaNames(), 'app-1'];
    const name = names[this.randomInt(names.length)] as string;
    return this.withClaim(name, () => inject(name));
  };

  /** Injects a fault into a random gateway. */
  readonly withRandomGateway = (inject: (at: number) => Promise<void>): Promise<void> | null => {
    const at = this.randomInt(this.fleet.options.gatewayCount);
    return this.withClaim(`gateway ${at}`, () => inject(at));
  };

  /**
   * Injects a fault into a random control node; with `isExclusive` only if no control node has another fault, and
   * claims all of them.
   */
  readonly withRandomControlNode = (
    inject: (at: number) => Promise<void>,
    isExclusive = false,
  ): Promise<void> | null => {
    const at = this.randomInt(controlNodes.length);
    if (!isExclusive) return this.withClaim(`control node ${at}`, () => inject(at));
    if (controlNodes.some((one) => this.claimed.has(`control node ${one}`))) return null;
    this.claimControlNodes();
    return inject(at).finally(() => controlNodes.forEach(this.releaseControlNode));
  };

  /** Restarts a replica and announces it. */
  readonly restartReplica = async (name: string): Promise<void> => {
    this.fleet.bootReplica(name);
    await this.operator.retryUntilAccepted((at) => this.fleet.announce(name, at));
  };

  /**
   * Waits until a control node is a voter.
   *
   * @throws Error if it is not within `maxPolls` polls of 100 ms
   */
  readonly waitUntilVoter = async (at: number, maxPolls: number): Promise<void> => {
    const isVoter = (): boolean => this.fleet.controlNodes[at]?.acceptor.isVoter() === true;
    for (let poll = 0; poll < maxPolls && !isVoter(); poll += 1) await this.wait(voterPollMs);
    if (!isVoter())
      throw new Error(`control node ${at + 1} did not become a voter within ${maxPolls * voterPollMs} ms`);
  };
}
