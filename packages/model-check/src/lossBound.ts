/** Which losses a schedule may contain: no more at once than the consensus group is built to survive. */
import type { Change, Member } from '@martenworks/core-types';
import type { Checker, NodeObservation } from './checker.js';

/** Milliseconds after a newcomer reported its status in which it may be proposed for a seat: the timeouts of request and proposal. */
const candidacyMs = 4_000;

/** Who would vote after log index `slot`. */
interface VoterSet {
  readonly slot: number;
  readonly members: readonly Member[];
}

/** How much may be lost at once: at most f of 2f+1 seats of each set of members whose majority may be needed. */
export class LossBound {
  private readonly proposedVoterSets = new Map<string, VoterSet>();
  private readonly candidatesUntil = new Map<string, number>();

  constructor(
    private readonly checker: () => Checker,
    private readonly observations: () => readonly NodeObservation[],
    private readonly now: () => number,
  ) {}

  /** A change was offered to a member: if it is a swap, it may be chosen from now on. */
  readonly recordProposal = (slot: number, { body }: Change): void => {
    if (body.kind !== 'swap') return;
    const before = this.checker().stateAt(slot - 1)?.members ?? [];
    const members = before.map((member) => (member.incarnation === body.outgoing ? body.incoming : member));
    this.proposedVoterSets.set(`${slot} ${body.outgoing} ${body.incoming.incarnation}`, { slot, members });
  };

  /** A newcomer reported its status: whoever received it may be about to seat it. */
  readonly recordMemberStatus = (incarnation: string): void =>
    void this.candidatesUntil.set(incarnation, this.now() + candidacyMs);

  /** Whether these incarnations may be missing beside those that are lost already. */
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
   * The sets of seats whose majority may be needed: the newest, older ones until a majority of the newer has settled
   * it, and those that a swap would make that was offered to members and may still be chosen.
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
