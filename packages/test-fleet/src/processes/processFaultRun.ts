/** A fault-injection run on real processes: the fleet, the invariant checker, and operator requests with retries. */
import { setTimeout as sleep } from 'node:timers/promises';
import { httpClients } from '@martenworks/upstream';
import { InvariantChecker } from '../invariants/invariantChecker.js';
import type { ObservedFleet, ReplicaIncarnation } from '../invariants/observedFleet.js';
import type { Violation } from '../invariants/violation.js';
import { seededRandom } from '../workload/sampleDeployments.js';
import type { LocalFleet, Reply } from './localFleet.js';

const controlNodeCount = 3;
const maxAttempts = 300;
const acceptRetryMs = 200;
const readRetryMs = 100;
const changeRetryMs = 150;
const voterTimeoutMs = 40_000;
const rejectedStatuses = new Set([409, 422]);
/** Separates the random sequences of consecutive seeds. */
const seedFactor = 7_919;

type Method = 'GET' | 'POST' | 'PATCH' | 'DELETE';

/** Returns milliseconds of the clock that emulated replicas use for their records. */
export const now = (): number => performance.timeOrigin + performance.now();

/** The random choices of a seed are the same in each run, but the timing of the processes is not. */
export class ProcessFaultRun {
  /** Sends the traffic and checks the invariants. */
  readonly checker: InvariantChecker;
  /** Returns a seeded random number in [0, 1). */
  readonly random: () => number;
  /** Violations detected by the faults. */
  readonly violations: Violation[] = [];
  private replicas: readonly ReplicaIncarnation[] = [];
  private changeCount = 0;

  constructor(
    /** The fleet under test. */
    readonly fleet: LocalFleet,
    seed: number,
  ) {
    this.random = seededRandom(seed * seedFactor);
    const externalClient = httpClients.real(null);
    const observed: ObservedFleet = {
      gatewayHosts: fleet.gatewayHosts,
      now,
      random: this.random,
      after: (delayMs, callback) => void setTimeout(callback, delayMs),
      externalClient: () => externalClient,
      replicaIncarnations: () => this.replicas,
    };
    this.checker = new InvariantChecker(observed, `${seed}-`);
  }

  /** Returns a random integer in [0, `count`). */
  readonly randomInt = (count: number): number => Math.floor(this.random() * count);

  /** Waits for a random duration. */
  readonly waitBetween = (lowMs: number, highMs: number): Promise<void> =>
    sleep(lowMs + this.random() * (highMs - lowMs));

  /** Returns a number that no other change of this run uses in its names. */
  readonly nextChangeNumber = (): number => ++this.changeCount;

  /** Fetches the records of the emulated replicas for the checker. */
  readonly collectReplicas = async (): Promise<void> => {
    this.replicas = await this.fleet.replicaIncarnations();
  };

  /** Sends a request to one control node; the status is 0 if it cannot be reached. */
  readonly call = (
    at: number,
    method: Method,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
  ): Promise<Reply> =>
    this.fleet
      .call(`${this.fleet.controlNodeHosts[at]}:7101`, method, path, body, headers)
      .catch((): Reply => ({ status: 0, body: {} }));

  /**
   * Sends a request to random control nodes until one accepts it.
   *
   * @throws Error if none accepts it within 300 attempts
   */
  readonly retryUntilAccepted = async (send: (at: number) => Promise<Reply>): Promise<void> => {
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      if ((await send(this.randomInt(controlNodeCount))).status === 200) return;
      await sleep(acceptRetryMs);
    }
    throw new Error(`no control node accepted the request in ${maxAttempts} attempts`);
  };

  private readonly readConfiguration = async (): Promise<{ at: number; base: number }> => {
    for (;;) {
      const at = this.randomInt(controlNodeCount);
      const config = await this.call(at, 'GET', '/operator/layout');
      if (config.status === 200) return { at, base: Number(config.body.generation) };
      await sleep(readRetryMs);
    }
  };

  /**
   * Sends a change until it is accepted (true) or rejected (false).
   *
   * @param onFirstAccepted called with the control node, if it accepted the change at the first attempt
   */
  readonly change = async (
    part: Record<string, unknown>,
    onFirstAccepted: (at: number) => Promise<void> = async () => {},
  ): Promise<boolean> => {
    const { at, base } = await this.readConfiguration();
    const id = `real-${this.nextChangeNumber()}`;
    const headers = { 'if-match': `"${base}"`, 'change-id': id };
    for (let attempt = 0; ; attempt += 1) {
      const node = attempt === 0 ? at : this.randomInt(controlNodeCount);
      const response = await this.call(node, 'PATCH', '/operator/layout', part, headers);
      if (response.status === 200) {
        this.checker.acceptedChanges.set(id, Number(response.body.generation));
        if (attempt === 0) await onFirstAccepted(at);
        return true;
      }
      if (rejectedStatuses.has(response.status)) {
        this.checker.rejectedChangeIds.add(id);
        return false;
      }
      await sleep(changeRetryMs);
    }
  };

  /** Kills a control node, optionally deletes its data, restarts it and waits until it is a voter. */
  readonly restartControlNode = async (at: number, losesData: boolean): Promise<void> => {
    await this.fleet.signal(this.fleet.controlNodeName(at), 'SIGKILL');
    if (losesData) this.fleet.wipeControlNode(at);
    await this.waitBetween(300, 2_000);
    this.fleet.startControlNode(at);
    const isVoter = async (): Promise<boolean> => (await this.call(at, 'GET', '/operator/status')).body.voter === true;
    await this.fleet.until(`control node ${at + 1} to become a voter`, isVoter, voterTimeoutMs);
  };

  /** Starts a new incarnation of a replica and announces it to the control nodes. */
  readonly replaceReplica = async (name: string): Promise<void> => {
    await this.fleet.restartReplica(name);
    const announcement = [this.fleet.announcement(name)];
    await this.retryUntilAccepted((at) => this.call(at, 'POST', '/platform/replicas', announcement));
  };

  /** Checks that every reachable control node knows each accepted change, and no rejected one. */
  readonly stateViolations = async (): Promise<Violation[]> => {
    const violations: Violation[] = [];
    for (let at = 0; at < controlNodeCount; at += 1) {
      if ((await this.call(at, 'GET', '/healthz')).status === 200)
        violations.push(...(await this.stateViolationsAt(at)));
    }
    return violations;
  };

  private readonly stateViolationsAt = async (at: number): Promise<Violation[]> => {
    const violations: Violation[] = [];
    const find = (id: string): Promise<Reply> => this.call(at, 'GET', `/operator/changes/${id}`);
    for (const [id, logIndex] of this.checker.acceptedChanges) {
      const known = await find(id);
      if (known.status !== 200 || known.body.generation !== logIndex)
        violations.push({
          rule: 'an accepted change is lost',
          detail: `${id} at control node ${at + 1}: ${known.status}`,
        });
    }
    for (const id of this.checker.rejectedChangeIds)
      if ((await find(id)).status === 200) violations.push({ rule: 'a rejected change took effect', detail: id });
    return violations;
  };
}
