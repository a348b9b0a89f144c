/** Faults put into the product on purpose, each of which the checker must find: the check of the check. */
import { LeaseTable } from '@martenworks/cluster-membership';
import type { LeaseTerms } from '@martenworks/cluster-membership';
import type { Acceptor, Ballot, Proposer, CommittedChange, MemberStatus, Voters } from '@martenworks/control-plane';
import { stateMachine } from '@martenworks/core-types';
import type { CommittedState, Change, Clock, Member } from '@martenworks/core-types';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { ModelDisk } from './modelDisk.js';

/** A fault put into the product on purpose, from outside, to show that the checker finds it. */
export interface Break {
  readonly name: string;
  readonly what: string;
  /** Replaces shared functions of the product for one schedule; gives what puts them back. */
  readonly install?: () => () => void;
  readonly disk?: (disk: ModelDisk) => void;
  readonly acceptor?: (acceptor: Acceptor) => void;
  readonly voters?: (voters: Voters, own: () => string) => Voters;
  readonly swapProposer?: (proposer: Proposer) => Proposer;
  /** Reads, and the checks that refusals rest on, use the node's own state. */
  readonly readsAlone?: boolean;
  /** Leases are granted to whoever asks, whatever voters it takes for the electorate. */
  readonly grantsAcrossSwaps?: boolean;
  /** Nothing that was missed is fetched or supplied. */
  readonly neverCatchesUp?: boolean;
  readonly leaseTable?: (clock: Clock, terms: LeaseTerms) => LeaseTable;
  readonly memberStatus?: (told: MemberStatus, asker: Acceptor) => MemberStatus;
}

type Overridable<T> = { -readonly [Key in keyof T]: T[Key] };

const overridable = <T>(object: T): Overridable<T> => object as Overridable<T>;

const applyAnySwap = (state: CommittedState, change: Change): CommittedState => {
  const { body } = change;
  if (body.kind !== 'swap') return unbrokenApply(state, change);
  const members = state.members.map((member) => (member.incarnation === body.outgoing ? body.incoming : member));
  return { ...unbrokenApply(state, change), members };
};

const unbrokenApply = stateMachine.apply;

const checkOnce = (proposer: Proposer): Proposer => {
  const propose: Proposer['propose'] = (check, ...rest) => {
    let first: ReturnType<typeof check> | null = null;
    return proposer.propose((state) => (first ??= check(state)), ...rest);
  };
  return Object.assign(Object.create(proposer), { propose });
};

const swapAnySeat: Break = {
  name: 'swap-any-seat',
  what: 'a swap is applied whatever seats there are, and its check is not made again before a further try',
  install: () => {
    stateMachine.apply = applyAnySwap;
    return () => {
      stateMachine.apply = unbrokenApply;
    };
  },
  swapProposer: checkOnce,
};

const forgetPromises: Break = {
  name: 'forget-promises',
  what: 'a restarted acceptor does not know the newest ballot that it promised',
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

const readAlone: Break = {
  name: 'read-alone',
  what: 'a read, or a refusal, rests on the own state without asking a majority',
  readsAlone: true,
};

const grantUnwritten: Break = {
  name: 'grant-unwritten',
  what: 'a lease is granted and its fence is not written',
  leaseTable: (clock, terms) => new LeaseTable(clock, async () => true, [], false, terms),
};

/** What the acceptor does with an event once the log has it; private there. */
interface EventApplier {
  readonly applyEvent: (record: { readonly t: 'adopted'; readonly agreed: CommittedState }) => void;
}

const grantAcrossSwaps: Break = {
  name: 'grant-across-swaps',
  what: 'a voter grants leases to nodes that count other voters than it does',
  grantsAcrossSwaps: true,
};

const seatWithoutState: Break = {
  name: 'seat-without-state',
  what: 'a newcomer is seated before it is known to hold the state, and holds it in memory alone',
  memberStatus: (told, asker) => {
    const state = asker.committedState();
    if (state === null) return told;
    return { ...told, logIndex: state.logIndex, syncedFrom: state.members.map((member) => member.incarnation) };
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

const acceptLowerBallot: Break = {
  name: 'accept-lower-ballot',
  what: 'an acceptor takes a change under a lower ballot than it has promised',
  acceptor: (acceptor) => {
    const accept = acceptor.accept;
    overridable(acceptor).accept = async (slot: number, ballot: Ballot, change: Change) => {
      const vote = await accept(slot, ballot, change);
      return vote.kind === 'rejected' ? accept(slot, vote.promised, change) : vote;
    };
  },
};

const countTwice: Break = {
  name: 'count-twice',
  what: 'the own vote counts again in the place of each member that does not answer',
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

const settleEarly: Break = {
  name: 'settle-early',
  what: 'a change is told as settled once a single member has accepted it',
  voters: (voters) => ({
    ...voters,
    accept: async (member, slot, ballot, change) => {
      const vote = await voters.accept(member, slot, ballot, change);
      if (vote?.kind === 'accepted') voters.broadcastCommit({ logIndex: slot, change } satisfies CommittedChange);
      return vote;
    },
  }),
};

const lyingDisk: Break = {
  name: 'lying-disk',
  what: 'votes are told before they are durable',
  disk: (disk) => {
    disk.isLying = true;
  },
};

const forgetEnds: Break = {
  name: 'forget-ends',
  what: 'a record that a process wrote and did not sync before its end is told by the next one without a sync',
  disk: (disk) => {
    disk.isForgettingEnds = true;
  },
};

const ignoreAccepted: Break = {
  name: 'ignore-accepted',
  what: 'a proposer offers its own change where a promise told of an accepted one',
  voters: (voters) => ({
    ...voters,
    prepare: async (member, slot, ballot) => {
      const vote = await voters.prepare(member, slot, ballot);
      return vote?.kind === 'promised' ? { ...vote, accepted: null } : vote;
    },
  }),
};

const forgetRecords: Break = {
  name: 'forget-records',
  what: 'no record is kept of the changes that were agreed on',
  install: () => {
    stateMachine.apply = (state, change) => ({ ...unbrokenApply(state, change), changeIds: {} });
    return () => {
      stateMachine.apply = unbrokenApply;
    };
  },
};

const settleOther: Break = {
  name: 'settle-other',
  what: 'one node puts another configuration in force than the one that was chosen',
  acceptor: (acceptor) => {
    const settle = acceptor.commit;
    overridable(acceptor).commit = ({ logIndex, change }) => {
      const { body } = change;
      if (body.kind !== 'routing' || !acceptor.incarnation.startsWith('n1-')) return settle({ logIndex, change });
      const routing = { ...body.routing, source: `${body.routing.source}, changed` };
      return settle({ logIndex, change: { ...change, body: { ...body, routing } } });
    };
  },
};

const neverCatchUp: Break = {
  name: 'never-catch-up',
  what: 'a member that missed a change is never brought forward',
  neverCatchesUp: true,
};

const askNobody: Break = {
  name: 'ask-nobody',
  what: 'a proposer asks no other voter for its promise',
  voters: (voters, own) => ({
    ...voters,
    prepare: async (member, slot, ballot) =>
      member.incarnation === own() ? voters.prepare(member, slot, ballot) : null,
  }),
};

const all: readonly Break[] = [
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
export const breaks = {
  all,
  find: (name: string | null): Break | null => all.find((one) => one.name === name) ?? null,
};
