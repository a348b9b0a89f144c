/** Leases among the voters: this node's requests for its own, and its grants to others. */
import type { LeaseReply, LeaseRequest } from '@martenworks/cluster-membership';
import { LeaseManager, leaseMs } from '@martenworks/cluster-membership';
import type { Member } from '@martenworks/core-types';
import type { Acceptor } from './acceptor.js';
import { consensusMessages } from './consensusMessages.js';
import type { ElectorateLeaseRequest } from './consensusMessages.js';
import type { ConsensusDependencies } from './consensusOptions.js';
import type { MemberPeers } from './memberPeers.js';
import { majorityOf } from './quorumCall.js';

/** Which leases are wanted, and whom a change of them concerns. */
interface LeaseInterest {
  readonly wanted: () => readonly string[];
  readonly changed: () => void;
}

/** Grants leases as a voter, under rules that keep two majorities from granting the same one across a swap of members. */
export class MemberLeases {
  /** Keeps this node's own leases. */
  readonly manager: LeaseManager;
  private readonly acceptor: Acceptor;
  private wasVoter = false;
  private noGrantsUntil = 0;

  constructor(
    private readonly parts: ConsensusDependencies,
    private readonly peers: MemberPeers,
    private readonly timeoutMs: number,
    interest: LeaseInterest,
  ) {
    this.acceptor = parts.acceptor;
    this.manager = new LeaseManager(
      parts.ports.clock,
      () => this.acceptor.incarnation,
      peers.reachableVoters,
      interest.wanted,
      this.request,
      this.release,
      () => majorityOf(peers.members()),
      interest.changed,
      parts.terms,
    );
  }

  /** Begins to follow whether this node has a seat. To be called once. */
  readonly start = (): void => {
    this.wasVoter = this.acceptor.isVoter();
    this.acceptor.watch(this.noteSeat);
  };

  /** The reply to a request for leases; null where this node may not grant any now. */
  readonly grant = async (request: ElectorateLeaseRequest): Promise<LeaseReply | null> =>
    this.mayGrant(request.electorate ?? this.electorate()) ? this.parts.leases.table.grant(request) : null;

  /** A peer has given up leases. Malformed messages are ignored. */
  readonly handleRelease = (body: unknown): void => {
    if (consensusMessages.isLeaseRequest(body)) this.parts.leases.table.release(body);
  };

  /**
   * A member that was newly seated grants nothing until every lease has ended which the members before it may have
   * granted: they may have formed a majority without it.
   */
  private readonly noteSeat = (): void => {
    const isVoter = this.acceptor.isVoter();
    const isNewlySeated = isVoter && !this.wasVoter && (this.acceptor.committedState()?.logIndex ?? 0) > 0;
    this.wasVoter = isVoter;
    if (!isNewlySeated) return;
    const { terms, ports } = this.parts;
    this.noGrantsUntil = ports.clock.now() + (terms?.leaseMs ?? leaseMs) + (terms?.gapMs ?? 0);
  };

  private readonly electorate = (): string[] => this.peers.members().map((member) => member.incarnation);

  /** Leases count only among voters that agree on who votes, and not while a change of that may have been chosen. */
  private readonly mayGrant = (electorate: readonly string[]): boolean => {
    const own = this.electorate();
    return (
      this.acceptor.isVoter() &&
      !this.acceptor.hasPendingSwap() &&
      this.parts.ports.clock.now() >= this.noGrantsUntil &&
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
    this.parts.leases.table.release(request);
    this.peers.broadcast('leaseRelease', request);
  };
}
