/** Operator and platform of a fault-injection run: changes, grants and drain notices, retried until they are accepted. */
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

/** A version of the configuration and the control node that told it. */
export interface ConfigurationBase {
  readonly at: number;
  readonly base: number;
}

/** Notes with the checker what was accepted, rejected and granted. */
export class OperatorClient {
  private readonly world: SimWorld;
  private changeCount = 0;

  /** @param violations takes accepted changes that are not in force in time */
  constructor(
    private readonly fleet: SimFleet,
    private readonly checker: InvariantChecker,
    private readonly violations: Violation[],
  ) {
    this.world = fleet.world;
  }

  private readonly anyNode = (): number => Math.floor(this.world.random() * controlNodeCount);

  /** How many changes were made, for names that no other change has. */
  readonly lastChangeNumber = (): number => this.changeCount;

  /** Counts a change that is made elsewhere. */
  readonly nextChangeNumber = (): number => ++this.changeCount;

  /** @throws Error where no control node accepts within 200 attempts */
  readonly retryUntilAccepted = async (send: (at: number) => Promise<{ status: number }>): Promise<void> => {
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      const response = await send(this.anyNode());
      if (response.status === 200) return;
      await this.world.sleep(retryMs);
    }
    throw new Error('no control node accepted the request');
  };

  /** Asks until a control node tells the version of the layout. */
  readonly readConfiguration = async (): Promise<ConfigurationBase> => {
    for (;;) {
      const at = this.anyNode();
      const config = await this.fleet.callControlNode(at, 'GET', '/operator/layout');
      if (config.status === 200) return { at, base: Number(config.body.generation) };
      await this.world.sleep(retryMs);
    }
  };

  /** Sends a change until it is accepted (true) or rejected (false). */
  readonly change = async (part: Record<string, unknown>, { at, base }: ConfigurationBase): Promise<boolean> => {
    const id = `change-${this.nextChangeNumber()}`;
    const headers = { 'if-match': `"${base}"`, 'change-id': id };
    for (let node = at; ; node = this.anyNode()) {
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

  /** Notes an accepted change and checks in time whether gateways serve under it. */
  readonly recordAccepted = (id: string, logIndex: number): void => {
    this.checker.acceptedChanges.set(id, logIndex);
    this.world.schedule(null, maxPropagationMs, () => this.checkInForce(id, logIndex));
  };

  private readonly checkInForce = (id: string, logIndex: number): void => {
    this.fleet.gateways.forEach((gateway, at) => {
      if (gateway === null || !gateway.freshness.isFresh() || gateway.stateView.logIndex() >= logIndex) return;
      this.violations.push({
        rule: 'an accepted change is not in force',
        detail: `${id}: counter ${at + 1} serves under ${gateway.stateView.logIndex()}, not ${logIndex}, after ${maxPropagationMs} ms`,
      });
    });
  };

  /** Grants a key; `entry` makes a tenant of the configuration for it, `prefix` tells a repeated grant apart. */
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

  /** Asks one control node to revoke a key. */
  readonly revokeAt = (at: number, key: string): Promise<{ readonly status: number }> =>
    this.fleet.callControlNode(at, 'POST', '/platform/keys/revoke', { key }, { 'change-id': `revoke-${key}` });

  /** Asks one control node to drain a replica. */
  readonly drainAt = (at: number, name: string): Promise<{ readonly status: number }> =>
    this.fleet.callControlNode(at, 'POST', `/platform/replicas/${name}/leaving`);

  /** Notes that the running incarnation of a replica drains from now on. */
  readonly recordDraining = (name: string, incarnation = this.fleet.incarnationOf(name)): void =>
    void this.checker.drainNotices.push({ name, incarnation, at: this.world.time });

  /** Takes a replica off the list. */
  readonly removeReplica = (name: string): Promise<void> =>
    this.retryUntilAccepted((at) => this.fleet.callControlNode(at, 'DELETE', `/platform/replicas/${name}`));
}
