/**
 * Linearizable reads without a log entry: a majority confirms that the local state is the newest
 * (docs/control/operators.md).
 */
import { stateMachine, timing } from '@martenworks/core-types';
import type { CommittedState, Clock, Member, Random } from '@martenworks/core-types';
import type { Acceptor } from './acceptor.js';
import type { LogSuffix } from './ballots.js';
import { askMembers, majorityOf, positions } from './quorumCall.js';
import type { Position, Voters } from './quorumCall.js';

const pendingRetryMs = 20;
const checksBeforeBallot = 2;

type PositionCheck =
  | { readonly kind: 'newest' }
  | { readonly kind: 'ahead'; readonly member: Member }
  | { readonly kind: 'pending' }
  | { readonly kind: 'no majority' };

interface MemberPosition {
  readonly member: Member;
  readonly position: Position;
}

/**
 * Finds a state at least as new as any change that was acknowledged before the read began.
 *
 * A change is chosen once a majority has accepted it. The local state is therefore the newest if, in a majority asked
 * after the read began, no member has a higher log index or an accepted change in the next slot. This check writes
 * nothing and does not disturb proposals. A ballot runs only if an accepted change is still pending at the second
 * check.
 */
export class LinearizableRead {
  constructor(
    private readonly acceptor: Acceptor,
    private readonly voters: Voters,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly applySuffix: (suffix: LogSuffix) => Promise<void>,
  ) {}

  /**
   * The newest state; null if no majority replied, or none confirmed it before `deadline` (this node's clock, ms).
   * `commitPending` runs one ballot that commits the accepted change.
   */
  readonly newest = async (
    deadline: number,
    commitPending: (state: CommittedState) => Promise<unknown>,
  ): Promise<CommittedState | null> => {
    let pendingChecks = 0;
    do {
      const state = this.acceptor.committedState();
      if (state === null) return null;
      const check = await this.checkPositions(state);
      if (check.kind === 'newest') return this.acceptor.committedState();
      if (check.kind === 'no majority') return null;
      if (check.kind === 'ahead') await this.catchUpFrom(check.member, state.logIndex);
      else if (++pendingChecks < checksBeforeBallot)
        await timing.sleep(this.clock, pendingRetryMs * (0.5 + this.random.fraction()));
      else if (this.acceptor.committedState()?.logIndex === state.logIndex) await commitPending(state);
    } while (this.clock.now() < deadline);
    return null;
  };

  private readonly checkPositions = (state: CommittedState): Promise<PositionCheck> => {
    const majority = majorityOf(state.members);
    const ask = async (member: Member): Promise<MemberPosition | null> => {
      const position = await this.positionOf(member);
      return position === null ? null : { member, position };
    };
    return askMembers<MemberPosition, PositionCheck>(
      stateMachine.distinctVoters(state),
      ask,
      (replies, outstanding) => {
        const memberPositions = replies.filter((reply) => reply !== null);
        const ahead = memberPositions.find(({ position }) => position.logIndex > state.logIndex);
        const pending = memberPositions.filter(({ position }) => position.acceptedSlot === state.logIndex + 1);
        const withoutPending = memberPositions.length - pending.length;
        if (ahead !== undefined) return { kind: 'ahead', member: ahead.member };
        if (withoutPending >= majority) return { kind: 'newest' };
        if (memberPositions.length >= majority) return { kind: 'pending' };
        return memberPositions.length + outstanding < majority ? { kind: 'no majority' } : null;
      },
    );
  };

  private readonly positionOf = (member: Member): Promise<Position | null> =>
    member.incarnation === this.acceptor.incarnation
      ? Promise.resolve(positions.of(this.acceptor))
      : this.voters.position(member);

  private readonly catchUpFrom = async (member: Member, logIndex: number): Promise<void> => {
    const suffix = await this.voters.logSuffixAfter(member, logIndex);
    if (suffix !== null) await this.applySuffix(suffix);
  };
}
