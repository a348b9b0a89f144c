/** Faults that are injected into the product on purpose. The checker must find each one, which tests the checker itself. */
import { LeaseTable } from '@martenworks/cluster-membership';
import type { LeaseTerms } from '@martenworks/cluster-membership';
import type { Acceptor, Ballot, Proposer, CommittedChange, MemberStatus, Voters } from '@martenworks/control-plane';
import { stateMachine } from '@martenworks/core-types';
import type { CommittedState, Change, Clock, Member } from '@martenworks/core-types';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { ModelDisk } from './modelDisk.js';

/** A deliberate fault, injected from outside the product's code. */
export interface InjectedFault {
  readonly name: string;
  readonly description: string;
  /** Replaces shared functions of the product for one schedule; returns a function that restores them. */
  readonly install?: () => () => void;
  // The members below change, wrap or replace a part of each node.
  readonly disk?: (disk: ModelDisk) => void;
  readonly acceptor?: (acceptor: Acceptor) => void;
  readonly voters?: (voters: Voters, ownIncarnation: () => string) => Voters;
  readonly swapProposer?: (proposer: Proposer) => Proposer;
  /** Reads, and the checks that precede a rejection, use the node's own state without asking a majority. */
  readonly readsLocalState?: boolean;
  /** A voter grants a lease also to a node that counts a different set of voters. */
  readonly grantsAcrossSwaps?: boolean;
  /** A node neither fetches the log entries it misses nor sends them to others. */
  readonly neverCatchesUp?: boolean;
  readonly leaseTable?: (clock: Clock, terms: LeaseTerms) => LeaseTable;
  readonly memberStatus?: (status: MemberStatus, caller: Acceptor) => MemberStatus;
}

type Overridable<T> = { -readonly [Key in keyof T]: T[Key] };

const overridable = <T>(object: T): Overridable<T> => object as Overridable<T>;

const applyAnySwap = (state: CommittedState, change: Change): CommittedState => {
  const { body } = change;
  if (body.kind !== 'swap') return originalApply(state, change);
  const members = state.members.map((member) => (member.incarnation === body.outgoing ? body.incoming : member));
  return { ...originalApply(state, change), members };
};

const originalApply = stateMachine.apply;

const checkOnce = (proposer: Proposer): Proposer => {
  const propose: Proposer['propose'] = (check, ...rest) => {
    let firstResult: ReturnType<typeof check> | null = null;
    return proposer.propose((state) => (firstResult ??= check(state)), ...rest);
  };
  return Object.assign(Object.create(proposer), { propose });
};

const swapAnySeat: InjectedFault = {
  name: 'swap-any-seat',
  description: 'a swap is applied without a check of the current voters, and a retry does not check it again',
  install: () => {
    stateMachine.apply = applyAnySwap;
    return () => {
      stateMachine.apply = originalApply;
    };
  },
  swapProposer: checkOnce,
};

const forgetPromises: InjectedFault = {
  name: 'forget-promises',
  description: 'a restarted acceptor has forgotten the highest ballot that it promised',
  install: () => {
    const open = writeAheadLogs.open;
    writeAheadLogs.open = async (disk, prefix) =>
      (await open(disk, prefix)).map((opened) => ({
        ...opened,
        records: opened.records.filter((record) => (record as { t?: string }).t !== 'promised'),
      }));
    return () => {
      writeAheadLogs.open = open;
    };
  },
};

const readAlone: InjectedFault = {
  name: 'read-alone',
  description: 'a read or a rejection uses the local state without asking a majority',
  readsLocalState: true,
};

const grantUnwritten: InjectedFault = {
  name: 'grant-unwritten',
  description: 'a lease is granted without writing its fencing token to disk',
  leaseTable: (clock, terms) => new LeaseTable(clock, async () => true, [], false, terms),
};

/** A private method of the acceptor that applies an event once the log has stored it. */
interface EventApplier {
  readonly applyEvent: (record: { readonly t: 'adopted'; readonly agreed: CommittedState }) => void;
}

const grantAcrossSwaps: InjectedFault = {
  name: 'grant-across-swaps',
  description: 'a voter grants leases to nodes that count a different set of voters',
  grantsAcrossSwaps: true,
};

const seatWithoutState: InjectedFault = {
  name: 'seat-without-state',
  description:
    'a joining node becomes a voter before it is known to have the state, and keeps that state only in memory',
  memberStatus: (status, caller) => {
    const state = caller.committedState();
    if (state === null) return status;
    return { ...status, logIndex: state.logIndex, syncedFrom: state.members.map((member) => member.incarnation) };
  },
  acceptor: (acceptor) => {
    const adopt = acceptor.adopt;
    overridable(acceptor).adopt = async (agreed) => {
      if (agreed.logIndex === 0) return adopt(agreed);
      if ((acceptor.committedState()?.logIndex ?? -1) >= agreed.logIndex) return false;
      (acceptor as unknown as EventApplier).applyEvent({ t: 'adopted', agreed });
      return true;
    };
  },
};

const acceptLowerBallot: InjectedFault = {
  name: 'accept-lower-ballot',
  description: 'an acceptor accepts a change under a lower ballot than it has promised',
  acceptor: (acceptor) => {
    const accept = acceptor.accept;
    overridable(acceptor).accept = async (slot: number, ballot: Ballot, change: Change) => {
      const vote = await accept(slot, ballot, change);
      return vote.kind === 'rejected' ? accept(slot, vote.promised, change) : vote;
    };
  },
};

const countTwice: InjectedFault = {
  name: 'count-twice',
  description: 'the proposer counts its own vote again for each member that does not reply',
  voters: (voters, ownIncarnation) => {
    let promised: Awaited<ReturnType<Voters['prepare']>> = null;
    return {
      ...voters,
      prepare: async (member, slot, ballot) => {
        const vote = await voters.prepare(member, slot, ballot);
        if (member.incarnation === ownIncarnation()) promised = vote;
        return vote ?? promised;
      },
      accept: async (member, slot, ballot, change) =>
        (await voters.accept(member, slot, ballot, change)) ??
        voters.accept({ ...member, incarnation: ownIncarnation() } satisfies Member, slot, ballot, change),
    };
  },
};

const settleEarly: InjectedFault = {
  name: 'settle-early',
  description: 'a change is announced as committed once a single member has accepted it',
  voters: (voters) => ({
    ...voters,
    accept: async (member, slot, ballot, change) => {
      const vote = await voters.accept(member, slot, ballot, change);
      if (vote?.kind === 'accepted') voters.broadcastCommit({ logIndex: slot, change } satisfies CommittedChange);
      return vote;
    },
  }),
};

const lyingDisk: InjectedFault = {
  name: 'lying-disk',
  description: 'votes are sent before they are durable',
  disk: (disk) => {
    disk.acknowledgesWithoutSync = true;
  },
};

const forgetEnds: InjectedFault = {
  name: 'forget-ends',
  description: 'after a restart, records that the previous process wrote but did not sync are used without a sync',
  disk: (disk) => {
    disk.skipsRecoverySync = true;
  },
};

const ignoreAccepted: InjectedFault = {
  name: 'ignore-accepted',
  description: 'a proposer proposes its own change although a promise reported an accepted one',
  voters: (voters) => ({
    ...voters,
    prepare: async (member, slot, ballot) => {
      const vote = await voters.prepare(member, slot, ballot);
      return vote?.kind === 'promised' ? { ...vote, accepted: null } : vote;
    },
  }),
};

const forgetRecords: InjectedFault = {
  name: 'forget-records',
  description: 'the ids of committed changes are not recorded',
  install: () => {
    stateMachine.apply = (state, change) => ({ ...originalApply(state, change), changeIds: {} });
    return () => {
      stateMachine.apply = originalApply;
    };
  },
};

const settleOther: InjectedFault = {
  name: 'settle-other',
  description: 'one node commits a different configuration from the one that was chosen',
  acceptor: (acceptor) => {
    const commit = acceptor.commit;
    overridable(acceptor).commit = ({ logIndex, change }) => {
      const { body } = change;
      if (body.kind !== 'routing' || !acceptor.incarnation.startsWith('n1-')) return commit({ logIndex, change });
      const routing = { ...body.routing, source: `${body.routing.source}, changed` };
      return commit({ logIndex, change: { ...change, body: { ...body, routing } } });
    };
  },
};

const neverCatchUp: InjectedFault = {
  name: 'never-catch-up',
  description: 'a member that missed a change never catches up',
  neverCatchesUp: true,
};

const askNobody: InjectedFault = {
  name: 'ask-nobody',
  description: 'a proposer asks no other voter for a promise',
  voters: (voters, ownIncarnation) => ({
    ...voters,
    prepare: async (member, slot, ballot) =>
      member.incarnation === ownIncarnation() ? voters.prepare(member, slot, ballot) : null,
  }),
};

const all: readonly InjectedFault[] = [
  swapAnySeat,
  forgetPromises,
  readAlone,
  grantUnwritten,
  grantAcrossSwaps,
  seatWithoutState,
  acceptLowerBallot,
  countTwice,
  settleEarly,
  lyingDisk,
  forgetEnds,
  ignoreAccepted,
  forgetRecords,
  settleOther,
  neverCatchUp,
  askNobody,
];

/** All injected faults, and a lookup by name. */
export const injectedFaults = {
  all,
  find: (name: string | null): InjectedFault | null => all.find((one) => one.name === name) ?? null,
};
