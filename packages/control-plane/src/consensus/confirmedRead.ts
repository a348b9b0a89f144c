/**
 * Linearizable reads without a log entry: a majority confirms that the local state is the newest
 * (docs/control/operators.md).
 */
import { stateMachine, timing } from '@martenworks/core-types';
import type { CommittedState, Clock, Member, Random } from '@martenworks/core-types';
import type { Acceptor } from './acceptor.js';
import type { Since } from './ballots.js';
import { askMembers, majorityOf, positions } from './quorumCall.js';
import type { Position, Voters } from './quorumCall.js';

const pendingPauseMs = 20;
const looksBeforeBallot = 2;

type Look =
  | { readonly kind: 'newest' }
  | { readonly kind: 'ahead'; readonly member: Member }
  | { readonly kind: 'pending' }
  | { readonly kind: 'no majority' };

interface Placed {
  readonly member: Member;
  readonly position: Position;
}

/** Finds a state at least as new as any change that was acknowledged before the read began.
 *
 * A change counts once a majority has accepted it. So a majority that was asked after the read began, none of which knows a newer generation or holds an accepted value for the next slot, shows that the state held here is the newest. Such a look writes nothing and disturbs no proposal. Only where a value stays accepted and undecided over two looks is it settled, by a ballot. */
export class ConfirmedRead {
  constructor(
    private readonly acceptor: Acceptor,
    private readonly voters: Voters,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly learn: (since: Since) => Promise<void>,
  ) {}

  /** The newest state, or null where no majority replied, or none agreed before `until` (on this node's clock, ms). `settlePending` runs one ballot that finishes what was accepted. */
  readonly newest = async (
    until: number,
    settlePending: (state: CommittedState) => Promise<unknown>,
  ): Promise<CommittedState | null> => {
    let pendingLooks = 0;
    do {
      const state = this.acceptor.agreed();
      if (state === null) return null;
      const look = await this.look(state);
      if (look.kind === 'newest') return this.acceptor.agreed();
      if (look.kind === 'no majority') return null;
      if (look.kind === 'ahead') await this.catchUpFrom(look.member, state.logIndex);
      else if (++pendingLooks < looksBeforeBallot)
        await timing.sleep(this.clock, pendingPauseMs * (0.5 + this.random.fraction()));
      else if (this.acceptor.agreed()?.logIndex === state.logIndex) await settlePending(state);
    } while (this.clock.now() < until);
    return null;
  };

  private readonly look = (state: CommittedState): Promise<Look> => {
    const majority = majorityOf(state.members);
    const ask = async (member: Member): Promise<Placed | null> => {
      const position = await this.positionOf(member);
      return position === null ? null : { member, position };
    };
    return askMembers<Placed, Look>(stateMachine.distinctVoters(state), ask, (replies, open) => {
      const placed = replies.filter((reply) => reply !== null);
      const ahead = placed.find(({ position }) => position.logIndex > state.logIndex);
      const pending = placed.filter(({ position }) => position.acceptedSlot === state.logIndex + 1);
      const clear = placed.length - pending.length;
      if (ahead !== undefined) return { kind: 'ahead', member: ahead.member };
      if (clear >= majority) return { kind: 'newest' };
      if (placed.length >= majority) return { kind: 'pending' };
      return placed.length + open < majority ? { kind: 'no majority' } : null;
    });
  };

  private readonly positionOf = (member: Member): Promise<Position | null> =>
    member.incarnation === this.acceptor.incarnation
      ? Promise.resolve(positions.of(this.acceptor))
      : this.voters.position(member);

  private readonly catchUpFrom = async (member: Member, logIndex: number): Promise<void> => {
    const since = await this.voters.since(member, logIndex);
    if (since !== null) await this.learn(since);
  };
}
