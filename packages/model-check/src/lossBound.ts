/** Which losses a schedule may contain: no more at once than the consensus group is built to survive. */
import type { Change, Member } from '@martenworks/core-types';
import type { Checker, Observed } from './checker.js';

/** Milliseconds after a newcomer reported its status in which it may be proposed for a seat: the timeouts of request and proposal. */
const candidateMs = 4_000;

/** Who would vote after log index `slot`. */
interface Seats {
  readonly slot: number;
  readonly members: readonly Member[];
}

/** How much may be lost at once: at most f of 2f+1 seats of each set of members whose majority may be needed. */
export class LossBound {
  private readonly offeredSeats = new Map<string, Seats>();
  private readonly candidatesUntil = new Map<string, number>();

  constructor(
    private readonly checker: () => Checker,
    private readonly observed: () => readonly Observed[],
    private readonly now: () => number,
  ) {}

  /** A change was offered to a member: if it is a swap, it may be chosen from now on. */
  readonly noteOffered = (slot: number, { body }: Change): void => {
    if (body.kind !== 'swap') return;
    const before = this.checker().stateAt(slot - 1)?.members ?? [];
    const members = before.map((member) => (member.incarnation === body.outgoing ? body.incoming : member));
    this.offeredSeats.set(`${slot} ${body.outgoing} ${body.incoming.incarnation}`, { slot, members });
  };

  /** A newcomer reported its status: whoever received it may be about to seat it. */
  readonly noteMemberStatus = (incarnation: string): void =>
    void this.candidatesUntil.set(incarnation, this.now() + candidateMs);

  /** Whether these incarnations may be missing beside those that are lost already. */
  readonly allows = (missing: readonly string[]): boolean => {
    const held = new Set(this.observed().map((node) => node.incarnation));
    for (const incarnation of missing) held.delete(incarnation);
    const candidates = this.candidates();
    return this.seatsInForce().every(({ members }) => {
      const concerned = new Set([...members.map((member) => member.incarnation), ...candidates]);
      if (!missing.some((incarnation) => concerned.has(incarnation))) return true;
      const lost = [...concerned].filter((incarnation) => !held.has(incarnation));
      return lost.length <= (members.length - 1) / 2;
    });
  };

  private readonly candidates = (): string[] =>
    [...this.candidatesUntil].flatMap(([incarnation, until]) => (until >= this.now() ? [incarnation] : []));

  /**
   * The sets of seats whose majority may be needed: the newest, older ones until a majority of the newer has settled
   * it, and those that a swap would make that was offered to members and may still be chosen.
   */
  private readonly seatsInForce = (): Seats[] => {
    const inForce: Seats[] = [];
    const newest = this.checker().newestState().logIndex;
    for (let logIndex = newest; logIndex >= 0; logIndex -= 1) {
      const members = this.checker().stateAt(logIndex)?.members;
      if (members === undefined) continue;
      inForce.push({ slot: logIndex, members });
      if (this.isSettledByMajority(logIndex, members)) break;
    }
    return [...inForce, ...[...this.offeredSeats.values()].filter(({ slot }) => slot > newest)];
  };

  private readonly isSettledByMajority = (logIndex: number, members: readonly Member[]): boolean => {
    const seats = new Set(members.map((member) => member.incarnation));
    const holders = this.observed().filter(
      (node) => seats.has(node.incarnation) && (node.state?.logIndex ?? -1) >= logIndex,
    );
    return holders.length > members.length / 2;
  };
}
