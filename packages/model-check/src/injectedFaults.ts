/** Faults put into the product on purpose, each of which the checker must find: the check of the check. */
import { LeaseTable } from '@martenworks/cluster-membership';
import type { LeaseTerms } from '@martenworks/cluster-membership';
import type { Acceptor, Ballot, Proposer, CommittedChange, MemberStatus, Voters } from '@martenworks/control-plane';
import { stateMachine } from '@martenworks/core-types';
import type { CommittedState, Change, Clock, Member } from '@martenworks/core-types';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { ModelDisk } from './modelDisk.js';

/** A fault put into the product on purpose, from outside, to show that the checker finds it. */
export interface InjectedFault {
  readonly name: string;
  readonly description: string;
  /** Replaces shared functions of the product for one schedule; gives what puts them back. */
  readonly install?: () => () => void;
  readonly disk?: (disk: ModelDisk) => void;
  readonly acceptor?: (acceptor: Acceptor) => void;
  readonly voters?: (voters: Voters, own: () => string) => Voters;
  readonly swapProposer?: (proposer: Proposer) => Proposer;
  /** Reads, and the checks that refusals rest on, use the node's own state. */
  readonly readsLocalState?: boolean;
  /** Leases are granted to whoever asks, whatever voters it takes for the electorate. */
  readonly grantsAcrossSwaps?: boolean;
  /** Nothing that was missed is fetched or supplied. */
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
    let first: ReturnType<typeof check> | null = null;
    return proposer.propose((state) => (first ??= check(state)), ...rest);
  };
  return Object.assign(Object.create(proposer), { propose });
};

const swapAnySeat: InjectedFault = {
  name: 'swap-any-seat',
  description: 'a swap is applied whatever seats there are, and its check is not made again before a further try',
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
  description: 'a restarted acceptor does not know the newest ballot that it promised',
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
  description: 'a read, or a refusal, rests on the own state without asking a majority',
  readsLocalState: true,
};

const grantUnwritten: InjectedFault = {
  name: 'grant-unwritten',
  description: 'a lease is granted and its fence is not written',
  leaseTable: (clock, terms) => new LeaseTable(clock, async () => true, [], false, terms),
};

/** What the acceptor does with an event once the log has it; private there. */
interface EventApplier {
  readonly applyEvent: (record: { readonly t: 'adopted'; readonly agreed: CommittedState }) => void;
}

const grantAcrossSwaps: InjectedFault = {
  name: 'grant-across-swaps',
  description: 'a voter grants leases to nodes that count other voters than it does',
  grantsAcrossSwaps: true,
};

const seatWithoutState: InjectedFault = {
  name: 'seat-without-state',
  description: 'a newcomer is seated before it is known to hold the state, and holds it in memory alone',
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
  description: 'an acceptor takes a change under a lower ballot than it has promised',
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
  description: 'the own vote counts again in the place of each member that does not answer',
  voters: (voters, own) => {
    let promised: Awaited<ReturnType<Voters['prepare']>> = null;
    return {
      ...voters,
      prepare: async (member, slot, ballot) => {
        const vote = await voters.prepare(member, slot, ballot);
        if (member.incarnation === own()) promised = vote;
        return vote ?? promised;
      },
      accept: async (member, slot, ballot, change) =>
        (await voters.accept(member, slot, ballot, change)) ??
        voters.accept({ ...member, incarnation: own() } satisfies Member, slot, ballot, change),
    };
  },
};

const settleEarly: InjectedFault = {
  name: 'settle-early',
  description: 'a change is told as settled once a single member has accepted it',
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
  description: 'votes are told before they are durable',
  disk: (disk) => {
    disk.acknowledgesWithoutSync = true;
  },
};

const forgetEnds: InjectedFault = {
  name: 'forget-ends',
  description: 'a record that a process wrote and did not sync before its end is told by the next one without a sync',
  disk: (disk) => {
    disk.skipsRecoverySync = true;
  },
};

const ignoreAccepted: InjectedFault = {
  name: 'ignore-accepted',
  description: 'a proposer offers its own change where a promise told of an accepted one',
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
  description: 'no record is kept of the changes that were agreed on',
  install: () => {
    stateMachine.apply = (state, change) => ({ ...originalApply(state, change), changeIds: {} });
    return () => {
      stateMachine.apply = originalApply;
    };
  },
};

const settleOther: InjectedFault = {
  name: 'settle-other',
  description: 'one node puts another configuration in force than the one that was chosen',
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
  description: 'a member that missed a change is never brought forward',
  neverCatchesUp: true,
};

const askNobody: InjectedFault = {
  name: 'ask-nobody',
  description: 'a proposer asks no other voter for its promise',
  voters: (voters, own) => ({
    ...voters,
    prepare: async (member, slot, ballot) =>
      member.incarnation === own() ? voters.prepare(member, slot, ballot) : null,
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

/** The deliberate breaks, by name. */
export const injectedFaults = {
  all,
  find: (name: string | null): InjectedFault | null => all.find((one) => one.name === name) ?? null,
};
