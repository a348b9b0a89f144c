/** What fault injections work with: the fleet, seeded randomness, virtual time, and claims on what they disturb. */
import type { InvariantChecker } from '../invariants/invariantChecker.js';
import type { Violation } from '../invariants/violation.js';
import type { SimFleet } from '../simulator/simFleet.js';
import type { SimWorld } from '../simulator/simWorld.js';
import type { FaultKind } from './faultSchedule.js';
import { OperatorClient } from './operatorClient.js';

const votePollMs = 100;
const controlNodes = [0, 1, 2];

/** Gateways from which injections make names that no other uses. */
interface RunState {
  weightsCount: number;
  probeCount: number;
  /** The lane that the prober was last granted. */
  lastProbedLane: string;
  replacementCount: number;
}

/** Brings one fault about and undoes it; null where what it disturbs is claimed by another fault. */
type Injection = (context: FaultContext) => Promise<void> | null;

/** The injections of one module by the kind of fault. */
export type Injections = { readonly [Kind in FaultKind]?: Injection };

/** Shared by all injections of one run. All randomness comes from the seed, so the order of draws must not change. */
export class FaultContext {
  /** The simulated world of the fleet. */
  readonly world: SimWorld;
  /** The operator and platform of the run. */
  readonly operator: OperatorClient;
  /** Violations that injections saw themselves. */
  readonly violations: Violation[] = [];
  /** Counters that injections share. */
  readonly state: RunState = { weightsCount: 1, probeCount: 0, lastProbedLane: 'query', replacementCount: 0 };
  private readonly claimed = new Set<string>();

  constructor(
    /** The fleet under test. */
    readonly fleet: SimFleet,
    /** Takes the observations of the run. */
    readonly checker: InvariantChecker,
  ) {
    this.world = fleet.world;
    this.operator = new OperatorClient(fleet, checker, this.violations);
  }

  /** A number from 0 up to 1. */
  readonly random = (): number => this.world.random();

  /** A whole number from 0 up to `count`. */
  readonly randomInt = (count: number): number => Math.floor(this.random() * count);

  /** A number from `low` up to `high`. */
  readonly randomBetween = (low: number, high: number): number => low + this.random() * (high - low);

  /** Waits for virtual milliseconds. */
  readonly wait = (delayMs: number): Promise<void> => this.world.sleep(delayMs);

  /** Waits for a random span of virtual milliseconds. */
  readonly waitBetween = (lowMs: number, highMs: number): Promise<void> => this.wait(this.randomBetween(lowMs, highMs));

  /** Takes a part of the fleet for one fault; false where another fault has it. */
  readonly claim = (part: string): boolean => {
    if (this.claimed.has(part)) return false;
    this.claimed.add(part);
    return true;
  };

  /** Gives a claimed part back. */
  readonly release = (part: string): void => void this.claimed.delete(part);

  /** Runs `work` with a part claimed; null where another fault has it. */
  readonly withClaim = (part: string, work: () => Promise<void>): Promise<void> | null =>
    this.claim(part) ? work().finally(() => this.release(part)) : null;

  /** Claims those of the gateways that are free. */
  readonly claimGateways = (among: readonly number[]): number[] => among.filter((at) => this.claim(`counter ${at}`));

  /** Claims those of the control nodes that are free. */
  readonly claimControlNodes = (among: readonly number[] = controlNodes): number[] =>
    among.filter((at) => this.claim(`control node ${at}`));

  /** Gives a claimed gateway back. */
  readonly releaseGateway = (at: number): void => this.release(`counter ${at}`);

  /** Gives a claimed control node back. */
  readonly releaseControlNode = (at: number): void => this.release(`control node ${at}`);

  /** The index of every gateway. */
  readonly gateways = (): number[] => this.fleet.gatewayHosts.map((_, at) => at);

  /** Disturbs a random replica of any pool. */
  readonly withRandomReplica = (work: (name: string) => Promise<void>): Promise<void> | null => {
    const names = [...this.fleet.replicaNames(), 'app-1'];
    const name = names[this.randomInt(names.length)] as string;
    return this.withClaim(name, () => work(name));
  };

  /** Disturbs a random gateway. */
  readonly withRandomGateway = (work: (at: number) => Promise<void>): Promise<void> | null => {
    const at = this.randomInt(this.fleet.options.gatewayCount);
    return this.withClaim(`counter ${at}`, () => work(at));
  };

  /** Disturbs a random control node; with `needsCalm` only while no other fault disturbs any of them. */
  readonly withRandomControlNode = (work: (at: number) => Promise<void>, needsCalm = false): Promise<void> | null => {
    const at = this.randomInt(controlNodes.length);
    if (!needsCalm) return this.withClaim(`control node ${at}`, () => work(at));
    if (controlNodes.some((one) => this.claimed.has(`control node ${one}`))) return null;
    this.claimControlNodes();
    return work(at).finally(() => controlNodes.forEach(this.releaseControlNode));
  };

  /** Starts a replica anew and announces it. */
  readonly restartReplica = async (name: string): Promise<void> => {
    this.fleet.bootReplica(name);
    await this.operator.retryUntilAccepted((at) => this.fleet.announce(name, at));
  };

  /** @throws Error where the control node does not vote within that many polls of 100 ms */
  readonly waitUntilVoter = async (at: number, polls: number): Promise<void> => {
    const isVoter = (): boolean => this.fleet.controlNodes[at]?.acceptor.isVoter() === true;
    for (let poll = 0; poll < polls && !isVoter(); poll += 1) await this.wait(votePollMs);
    if (!isVoter()) throw new Error('the empty control node was never swapped in');
  };
}
