/** Limits the losses in a schedule to what the consensus group is designed to survive. */
import type { Change, Member } from '@martenworks/core-types';
import type { Checker, NodeObservation } from './checker.js';

/** How long after its status report a joining node may still be proposed as a voter: the timeouts of the request and the proposal. */
const candidacyMs = 4_000;

/** The members that vote after log index `slot`. */
interface VoterSet {
  readonly slot: number;
  readonly members: readonly Member[];
}

/** Decides which nodes may be lost: at most f of the 2f+1 voters in each set whose majority may still be needed. */
export class LossBound {
  private readonly proposedVoterSets = new Map<string, VoterSet>();
  private readonly candidatesUntil = new Map<string, number>();

  constructor(
    private readonly checker: () => Checker,
    private readonly observations: () => readonly NodeObservation[],
    private readonly now: () => number,
  ) {}

  /** Records a change that was proposed to a member. If it is a swap, it may be chosen from now on. */
  readonly recordProposal = (slot: number, { body }: Change): void => {
    if (body.kind !== 'swap') return;
    const before = this.checker().stateAt(slot - 1)?.members ?? [];
    const members = before.map((member) => (member.incarnation === body.outgoing ? body.incoming : member));
    this.proposedVoterSets.set(`${slot} ${body.outgoing} ${body.incoming.incarnation}`, { slot, members });
  };

  /** Records that a joining node reported its status, after which the receiver may propose it as a voter. */
  readonly recordMemberStatus = (incarnation: string): void =>
    void this.candidatesUntil.set(incarnation, this.now() + candidacyMs);

  /** Whether these incarnations may be missing in addition to those already lost. */
  readonly allows = (missing: readonly string[]): boolean => {
    const available = new Set(this.observations().map((node) => node.incarnation));
    for (const incarnation of missing) available.delete(incarnation);
    const candidates = this.candidates();
    return this.relevantVoterSets().every(({ members }) => {
      const relevant = new Set([...members.map((member) => member.incarnation), ...candidates]);
      if (!missing.some((incarnation) => relevant.has(incarnation))) return true;
      const lost = [...relevant].filter((incarnation) => !available.has(incarnation));
      return lost.length <= (members.length - 1) / 2;
    });
  };

  private readonly candidates = (): string[] =>
    [...this.candidatesUntil].flatMap(([incarnation, until]) => (until >= this.now() ? [incarnation] : []));

  /**
   * The voter sets whose majority may be needed: those from the newest back to the first that a majority of its own
   * members has committed, and the results of proposed swaps that may still be chosen.
   */
  private readonly relevantVoterSets = (): VoterSet[] => {
    const voterSets: VoterSet[] = [];
    const newest = this.checker().newestState().logIndex;
    for (let logIndex = newest; logIndex >= 0; logIndex -= 1) {
      const members = this.checker().stateAt(logIndex)?.members;
      if (members === undefined) continue;
      voterSets.push({ slot: logIndex, members });
      if (this.isCommittedByMajority(logIndex, members)) break;
    }
    return [...voterSets, ...[...this.proposedVoterSets.values()].filter(({ slot }) => slot > newest)];
  };

  private readonly isCommittedByMajority = (logIndex: number, members: readonly Member[]): boolean => {
    const voterIncarnations = new Set(members.map((member) => member.incarnation));
    const holders = this.observations().filter(
      (node) => voterIncarnations.has(node.incarnation) && (node.state?.logIndex ?? -1) >= logIndex,
    );
    return holders.length > members.length / 2;
  };
}
