/**
 * Acts as operator and platform in a fault injection run: sends changes, grants and drain notices until they are
 * accepted.
 */
import type { InvariantChecker } from '../invariants/invariantChecker.js';
import { maxPropagationMs } from '../invariants/observations.js';
import type { Grant } from '../invariants/observations.js';
import type { Violation } from '../invariants/violation.js';
import type { SimFleet } from '../simulator/simFleet.js';
import type { SimWorld } from '../simulator/simWorld.js';

const controlNodeCount = 3;
const maxAttempts = 200;
const retryMs = 200;
const changeRetryMs = 150;
const rejectedStatuses = new Set([409, 422]);

/** A configuration version and the control node that returned it. */
export interface ConfigurationBase {
  readonly at: number;
  readonly base: number;
}

/** Sends requests to control nodes, and records accepted changes, rejected changes and grants with the checker. */
export class OperatorClient {
  private readonly world: SimWorld;
  private changeCount = 0;

  /** @param violations receives a violation for each accepted change that does not take effect in time */
  constructor(
    private readonly fleet: SimFleet,
    private readonly checker: InvariantChecker,
    private readonly violations: Violation[],
  ) {
    this.world = fleet.world;
  }

  private readonly randomNode = (): number => Math.floor(this.world.random() * controlNodeCount);

  /** Returns the number of changes so far, for unique names. */
  readonly lastChangeNumber = (): number => this.changeCount;

  /** Counts one more change and returns its number. */
  readonly nextChangeNumber = (): number => ++this.changeCount;

  /**
   * Sends a request to random control nodes until one accepts it.
   *
   * @throws Error if none accepts within 200 attempts
   */
  readonly retryUntilAccepted = async (send: (at: number) => Promise<{ status: number }>): Promise<void> => {
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      const response = await send(this.randomNode());
      if (response.status === 200) return;
      await this.world.sleep(retryMs);
    }
    throw new Error(`no control node accepted the request in ${maxAttempts} attempts`);
  };

  /** Reads the current configuration version from a random control node; retries until one responds. */
  readonly readConfiguration = async (): Promise<ConfigurationBase> => {
    for (;;) {
      const at = this.randomNode();
      const current = await this.fleet.callControlNode(at, 'GET', '/operator/layout');
      if (current.status === 200) return { at, base: Number(current.body.generation) };
      await this.world.sleep(retryMs);
    }
  };

  /** Sends a change until it is accepted (returns true) or rejected (returns false). */
  readonly change = async (part: Record<string, unknown>, { at, base }: ConfigurationBase): Promise<boolean> => {
    const id = `change-${this.nextChangeNumber()}`;
    const headers = { 'if-match': `"${base}"`, 'change-id': id };
    for (let node = at; ; node = this.randomNode()) {
      const response = await this.fleet.callControlNode(node, 'PATCH', '/operator/layout', part, headers);
      if (response.status === 200) {
        this.recordAccepted(id, Number(response.body.generation));
        return true;
      }
      if (rejectedStatuses.has(response.status)) {
        this.checker.rejectedChangeIds.add(id);
        return false;
      }
      await this.world.sleep(changeRetryMs);
    }
  };

  /** Records an accepted change, and checks after the propagation time that every up-to-date gateway applies it. */
  readonly recordAccepted = (id: string, logIndex: number): void => {
    this.checker.acceptedChanges.set(id, logIndex);
    this.world.schedule(null, maxPropagationMs, () => this.checkInEffect(id, logIndex));
  };

  private readonly checkInEffect = (id: string, logIndex: number): void => {
    this.fleet.gateways.forEach((gateway, at) => {
      if (gateway === null || !gateway.freshness.isFresh() || gateway.stateView.logIndex() >= logIndex) return;
      this.violations.push({
        rule: 'an accepted change is not in effect',
        detail: `${id}: gateway ${at + 1} is at log index ${gateway.stateView.logIndex()}, not ${logIndex}, after ${maxPropagationMs} ms`,
      });
    });
  };

  /**
   * Grants a key; `entry` also adds the tenant to the configuration, `prefix` distinguishes the change id of a repeated
   * grant.
   */
  readonly grant = async (
    key: string,
    tenant: string,
    entry: Record<string, unknown> | null,
    prefix = '',
  ): Promise<Grant> => {
    const grant = this.checker.grant(key, tenant);
    const body = { tenant, key, ...(entry === null ? {} : { grant: entry }) };
    const headers = { 'change-id': `grant-${prefix}${key}` };
    await this.retryUntilAccepted((at) => this.fleet.callControlNode(at, 'POST', '/platform/clients', body, headers));
    return grant;
  };

  /** Sends the revocation of a key to one control node. */
  readonly revokeAt = (at: number, key: string): Promise<{ readonly status: number }> =>
    this.fleet.callControlNode(at, 'POST', '/platform/keys/revoke', { key }, { 'change-id': `revoke-${key}` });

  /** Sends a drain notice for a replica to one control node. */
  readonly drainAt = (at: number, name: string): Promise<{ readonly status: number }> =>
    this.fleet.callControlNode(at, 'POST', `/platform/replicas/${name}/leaving`);

  /** Records that an incarnation of a replica, by default the running one, is draining from now on. */
  readonly recordDraining = (name: string, incarnation = this.fleet.incarnationOf(name)): void =>
    void this.checker.drainNotices.push({ name, incarnation, at: this.world.time });

  /** Removes a replica. */
  readonly removeReplica = (name: string): Promise<void> =>
    this.retryUntilAccepted((at) => this.fleet.callControlNode(at, 'DELETE', `/platform/replicas/${name}`));
}
