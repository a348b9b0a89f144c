/** The constructor arguments of a consensus member: dependencies, timing, and the hooks of the kind of node. */
import type { DialOptions, LeaseTerms, MemberEntry, MemberList } from '@martenworks/cluster-membership';
import type { Ports } from '@martenworks/core-types';
import type { PeerHandlers, Hello } from '@martenworks/peer-transport';
import type { Acceptor } from './acceptor.js';
import type { PersistedLeases } from './leaseLog.js';

/** Intervals of the periodic tasks and timeouts of requests, in milliseconds. */
export interface ConsensusTiming {
  /** Timeout for a vote, a position or a catch-up request to another voter. */
  readonly voteTimeoutMs: number;
  /** Mean interval between attempts to bootstrap the cluster. */
  readonly bootstrapIntervalMs: number;
  /** Mean interval between membership checks, each of which also catches up. */
  readonly membershipIntervalMs: number;
  readonly keepaliveIntervalMs: number;
  /** A peer that does not answer a keepalive for this long is disconnected. */
  readonly keepaliveTimeoutMs: number;
  readonly leaseIntervalMs: number;
  readonly leaseTimeoutMs: number;
  readonly dialOptions?: DialOptions;
  /** How long a member must be unreachable before a node of another name may replace it. */
  readonly replacementDelayMs?: number;
}

/**
 * What each kind of control node adds. The inherited handlers receive all topics that are not the consensus group's.
 */
export interface ConsensusHooks extends PeerHandlers {
  /** Addresses to stay connected to, in addition to those of the members. */
  readonly extraAddresses: () => readonly string[];
  /** Whether an unreachable member of this name is known to be down. */
  readonly isDown: (name: string) => boolean;
  /** Names of the leases that this node tries to acquire and renew. */
  readonly wantedLeases: () => readonly string[];
  /** Called after a lease was acquired or lost. */
  readonly leasesChanged: () => void;
  /** Whether a joining node must copy data outside the committed state from every member before it may vote. */
  readonly requiresSync: boolean;
  /** Incarnations of the members whose data outside the committed state was copied to this node. */
  readonly syncedFrom: () => readonly string[];
  /** Called before each membership check; must also catch up. */
  readonly beforeMembershipCheck: () => Promise<void>;
  /** Selects the entries of the member list that are sent to peers. */
  readonly sharedMembers: (entries: MemberEntry[]) => MemberEntry[];
}

/** The dependencies of a consensus member. */
export interface ConsensusDependencies {
  readonly ports: Ports;
  /** How this node introduces itself when a connection opens. */
  readonly hello: () => Hello;
  readonly memberList: MemberList;
  /** Addresses to dial while no member is known. */
  readonly seeds: readonly string[];
  readonly acceptor: Acceptor;
  readonly leases: PersistedLeases;
  readonly terms?: LeaseTerms;
  /** Number of members that a new cluster starts with; 3 by default. */
  readonly initialMemberCount?: number;
}
