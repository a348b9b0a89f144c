/** Asks the control nodes to admit isolated tenants to replicas, as the tenant partitions want it. */
import { background } from '@martenworks/core-types';
import type { IsolationClaim, IsolationStatus, Member } from '@martenworks/core-types';
import type { GatewayParts } from '../gatewayParts.js';
import { peerMessages } from './peerMessages.js';

const admitTimeoutMs = 1_000;

/** What a majority knows of one replica: every tenant that any of them names, and the majority's smallest age. */
const merged = (statuses: readonly IsolationStatus[], majority: number): IsolationStatus => ({
  ...(statuses[0] as IsolationStatus),
  sides: [...new Set(statuses.flatMap((status) => status.sides))],
  ageMs: statuses.map((status) => status.ageMs).sort((a, b) => b - a)[majority - 1] as number,
});

/** Collects the members' answers by replica until a majority answered on every claim. */
class AdmissionCount {
  private readonly byReplica = new Map<string, IsolationStatus[]>();

  constructor(
    private open: number,
    private readonly majority: number,
    private readonly claimCount: number,
    private readonly resolve: (statuses: IsolationStatus[]) => void,
  ) {}

  readonly add = (statuses: readonly IsolationStatus[]): void => {
    this.open -= 1;
    for (const status of statuses)
      this.byReplica.set(status.replica, [...(this.byReplica.get(status.replica) ?? []), status]);
    const known = [...this.byReplica.values()].filter((some) => some.length >= this.majority);
    if (known.length < this.claimCount && this.open > 0) return;
    this.resolve(known.map((some) => merged(some, this.majority)));
  };
}

/** Runs one round of requests at a time. */
export class IsolationAdmission {
  private isRunning = false;

  constructor(private readonly gateway: GatewayParts) {}

  /** Asks for all claims that are open, if no round is running. */
  readonly run = async (): Promise<void> => {
    const claims = this.gateway.stateView.wantedIsolationClaims();
    if (this.isRunning || claims.length === 0) return;
    this.isRunning = true;
    const statuses = await this.ask(claims);
    this.isRunning = false;
    if (statuses.length === 0) return;
    this.gateway.stateView.takeIsolationStatuses(statuses);
    this.gateway.stages.placementStage.pumpAll();
  };

  private readonly ask = (claims: readonly IsolationClaim[]): Promise<IsolationStatus[]> => {
    const members = this.gateway.stateView.agreed()?.members ?? [];
    const majority = Math.floor(members.length / 2) + 1;
    return new Promise((resolve) => {
      const count = new AdmissionCount(members.length, majority, claims.length, resolve);
      if (members.length === 0) resolve([]);
      for (const member of members) this.askMember(member, claims, count);
    });
  };

  private readonly askMember = (member: Member, claims: readonly IsolationClaim[], count: AdmissionCount): void => {
    const connection = this.gateway.peerPool.connectionTo(member.incarnation);
    if (connection === undefined) {
      count.add([]);
      return;
    }
    background.run(
      'ask a control node to admit isolated tenants',
      connection
        .call('admitSides', claims, admitTimeoutMs)
        .then((response) => count.add((response.isOk() ? peerMessages.isolationStatuses(response.value) : null) ?? [])),
    );
  };
}
