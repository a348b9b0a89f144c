/** Asks the control nodes to admit isolated tenants to replicas, as the tenant partitions require. */
import { background } from '@martenworks/core-types';
import type { IsolationClaim, IsolationStatus, Member } from '@martenworks/core-types';
import type { GatewayContext } from '../gatewayContext.js';
import { peerMessages } from './peerMessages.js';

const admitTimeoutMs = 1_000;

/**
 * Merges the control nodes' statuses of one replica: all tenants that any of them lists, and the largest age that a
 * majority confirms.
 */
const mergeStatuses = (statuses: readonly IsolationStatus[], majority: number): IsolationStatus => ({
  ...(statuses[0] as IsolationStatus),
  sides: [...new Set(statuses.flatMap((status) => status.sides))],
  ageMs: statuses.map((status) => status.ageMs).sort((a, b) => b - a)[majority - 1] as number,
});

/** Collects the members' replies by replica, until a majority replied on every claim or all members replied. */
class StatusCollector {
  private readonly byReplica = new Map<string, IsolationStatus[]>();

  constructor(
    private outstanding: number,
    private readonly majority: number,
    private readonly claimCount: number,
    private readonly resolve: (statuses: IsolationStatus[]) => void,
  ) {}

  readonly add = (statuses: readonly IsolationStatus[]): void => {
    this.outstanding -= 1;
    for (const status of statuses)
      this.byReplica.set(status.replica, [...(this.byReplica.get(status.replica) ?? []), status]);
    const complete = [...this.byReplica.values()].filter((some) => some.length >= this.majority);
    if (complete.length < this.claimCount && this.outstanding > 0) return;
    this.resolve(complete.map((some) => mergeStatuses(some, this.majority)));
  };
}

/** Requests admissions in rounds, one round at a time. */
export class IsolationAdmission {
  private isRunning = false;

  constructor(private readonly gateway: GatewayContext) {}

  /** Requests all pending claims, unless a round is running. */
  readonly run = async (): Promise<void> => {
    const claims = this.gateway.stateView.pendingIsolationClaims();
    if (this.isRunning || claims.length === 0) return;
    this.isRunning = true;
    const statuses = await this.callMembers(claims);
    this.isRunning = false;
    if (statuses.length === 0) return;
    this.gateway.stateView.applyIsolationStatuses(statuses);
    this.gateway.stages.placementStage.placeAllQueued();
  };

  private readonly callMembers = (claims: readonly IsolationClaim[]): Promise<IsolationStatus[]> => {
    const members = this.gateway.stateView.committedState()?.members ?? [];
    const majority = Math.floor(members.length / 2) + 1;
    return new Promise((resolve) => {
      const collector = new StatusCollector(members.length, majority, claims.length, resolve);
      if (members.length === 0) resolve([]);
      for (const member of members) this.callMember(member, claims, collector);
    });
  };

  private readonly callMember = (
    member: Member,
    claims: readonly IsolationClaim[],
    collector: StatusCollector,
  ): void => {
    const connection = this.gateway.peerPool.connectionTo(member.incarnation);
    if (connection === undefined) {
      collector.add([]);
      return;
    }
    background.run(
      'ask a control node to admit isolated tenants',
      connection
        .call('admitSides', claims, admitTimeoutMs)
        .then((response) =>
          collector.add((response.isOk() ? peerMessages.isolationStatuses(response.value) : null) ?? []),
        ),
    );
  };
}
