/** Leases of the consensus group: this node's requests for its own leases, and its grants to others. */
import type { LeaseReply, LeaseRequest } from '@martenworks/cluster-membership';
import { LeaseManager, leaseMs } from '@martenworks/cluster-membership';
import type { Member } from '@martenworks/core-types';
import type { Acceptor } from './acceptor.js';
import { consensusMessages } from './consensusMessages.js';
import type { ElectorateLeaseRequest } from './consensusMessages.js';
import type { ConsensusDependencies } from './consensusOptions.js';
import type { MemberPeers } from './memberPeers.js';
import { majorityOf } from './quorumCall.js';

/** Which leases this node wants, and the callback for a change of those it holds. */
interface LeaseInterest {
  readonly wanted: () => readonly string[];
  readonly changed: () => void;
}

/**
 * Grants leases as a voter. Its rules prevent two majorities from granting the same lease across a membership change.
 */
export class MemberLeases {
  /** Acquires and renews this node's own leases. */
  readonly manager: LeaseManager;
  private readonly acceptor: Acceptor;
  private wasVoter = false;
  private noGrantsUntil = 0;

  constructor(
    private readonly dependencies: ConsensusDependencies,
    private readonly peers: MemberPeers,
    private readonly timeoutMs: number,
    interest: LeaseInterest,
  ) {
    this.acceptor = dependencies.acceptor;
    this.manager = new LeaseManager(
      dependencies.ports.clock,
      () => this.acceptor.incarnation,
      peers.reachableVoters,
      interest.wanted,
      this.request,
      this.release,
      () => majorityOf(peers.members()),
      interest.changed,
      dependencies.terms,
    );
  }

  /** Starts to track whether this node is a voter. Call once. */
  readonly start = (): void => {
    this.wasVoter = this.acceptor.isVoter();
    this.acceptor.watch(this.handleMembershipChange);
  };

  /** The reply to a lease request; null if this node may not grant any lease now. */
  readonly grant = async (request: ElectorateLeaseRequest): Promise<LeaseReply | null> =>
    this.mayGrant(request.electorate ?? this.electorate()) ? this.dependencies.leases.table.grant(request) : null;

  /** Handles a peer's release of its leases; malformed messages are ignored. */
  readonly handleRelease = (body: unknown): void => {
    if (consensusMessages.isLeaseRequest(body)) this.dependencies.leases.table.release(body);
  };

  /**
   * A new voter grants nothing until every lease has expired that the previous members may have granted, since they may
   * have formed a majority without it.
   */
  private readonly handleMembershipChange = (): void => {
    const isVoter = this.acceptor.isVoter();
    const isNewVoter = isVoter && !this.wasVoter && (this.acceptor.committedState()?.logIndex ?? 0) > 0;
    this.wasVoter = isVoter;
    if (!isNewVoter) return;
    const { terms, ports } = this.dependencies;
    this.noGrantsUntil = ports.clock.now() + (terms?.leaseMs ?? leaseMs) + (terms?.gapMs ?? 0);
  };

  private readonly electorate = (): string[] => this.peers.members().map((member) => member.incarnation);

  /**
   * Leases are granted only among voters that know the same members, and not while a membership change may be chosen.
   */
  private readonly mayGrant = (electorate: readonly string[]): boolean => {
    const own = this.electorate();
    return (
      this.acceptor.isVoter() &&
      !this.acceptor.hasPendingSwap() &&
      this.dependencies.ports.clock.now() >= this.noGrantsUntil &&
      electorate.length === own.length &&
      electorate.every((incarnation) => own.includes(incarnation))
    );
  };

  private readonly request = async (wanted: LeaseRequest): Promise<LeaseReply[]> => {
    const request: ElectorateLeaseRequest = { ...wanted, electorate: this.electorate() };
    const ask = (member: Member): Promise<LeaseReply | null> =>
      this.peers.isSelf(member)
        ? this.grant(request)
        : this.peers.ask(member, 'leaseRequest', request, consensusMessages.isLeaseReply, this.timeoutMs);
    const replies = await Promise.all(this.peers.distinctVoters().map(ask));
    return replies.filter((reply) => reply !== null);
  };

  private readonly release = (request: LeaseRequest): void => {
    this.dependencies.leases.table.release(request);
    this.peers.broadcast('leaseRelease', request);
  };
}
