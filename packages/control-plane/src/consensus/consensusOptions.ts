/** What a consensus member is made with: its collaborators, its timing, and what the kind of node adds. */
import type { DialOptions, LeaseTerms, MemberEntry, MemberList } from '@martenworks/cluster-membership';
import type { Ports } from '@martenworks/core-types';
import type { PeerHandlers, Hello } from '@martenworks/peer-transport';
import type { Acceptor } from './acceptor.js';
import type { PersistedLeases } from './leaseLog.js';

/** Timing in milliseconds: how often each step is taken, and how long a reply is waited for. */
export interface ConsensusPace {
  /** How long a vote, a position or a page of state is waited for. */
  readonly voteTimeoutMs: number;
  /** Mean time between two tries at founding the cluster. */
  readonly foundingMs: number;
  /** Mean time between two rounds of catching up and looking after the seats. */
  readonly upkeepMs: number;
  readonly keepaliveIntervalMs: number;
  /** A peer that does not answer a keepalive for this long is disconnected. */
  readonly keepaliveTimeoutMs: number;
  readonly leaseIntervalMs: number;
  readonly leaseTimeoutMs: number;
  readonly dialPace?: DialOptions;
  /** How long a member must be lost before a node of another name may take its seat. */
  readonly strangerWaitMs?: number;
}

/** What the kind of node adds to the group's own work; its handlers get the topics that are not the group's. */
export interface ConsensusRole extends PeerHandlers {
  /** Addresses to hold connections to, besides those of the members. */
  readonly extraAddresses: () => readonly string[];
  /** Whether a lost member of this name is known to be down. */
  readonly isDown: (name: string) => boolean;
  /** Names of the leases this node tries to get and keep. */
  readonly wantedLeases: () => readonly string[];
  /** Called after a lease was won or lost. */
  readonly leasesChanged: () => void;
  /** Whether a newcomer must have copied data beside the committed state from every member before it may vote. */
  readonly needsCopies: boolean;
  /** The members, by incarnation, whose data beside the committed state is held here. */
  readonly syncedFrom: () => readonly string[];
  /** Work to be done before each step of membership; catching up is part of it. */
  readonly prepareUpkeep: () => Promise<void>;
  /** Entries of the member list that a peer is told of. */
  readonly sharedMembers: (entries: MemberEntry[]) => MemberEntry[];
}

/** The collaborators of a consensus member. */
export interface ConsensusParts {
  readonly ports: Ports;
  /** What this node says of itself when a connection opens. */
  readonly hello: () => Hello;
  readonly memberList: MemberList;
  /** Addresses to dial before any member is known. */
  readonly seeds: readonly string[];
  readonly acceptor: Acceptor;
  readonly leases: PersistedLeases;
  readonly terms?: LeaseTerms;
  /** Number of founding members. */
  readonly coreSize?: number;
}
