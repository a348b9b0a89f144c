import { agreed as agreedState, pause } from '@martenworks/core-types';
import type { Agreed, Clock, Member, Random } from '@martenworks/core-types';
import type { Acceptor, Since } from './acceptor.js';
import { askMembers, majorityOf, positions } from './quorumCall.js';
import type { Position, Voters } from './quorumCall.js';

const pendingPauseMs = 20;
const looksBeforeBallot = 2;

type Look =
  | { readonly k: 'newest' }
  | { readonly k: 'ahead'; readonly member: Member }
  | { readonly k: 'pending' }
  | { readonly k: 'no majority' };

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
    settlePending: (state: Agreed) => Promise<unknown>,
  ): Promise<Agreed | null> => {
    let pendingLooks = 0;
    do {
      const state = this.acceptor.agreed();
      if (state === null) return null;
      const look = await this.look(state);
      if (look.k === 'newest') return this.acceptor.agreed();
      if (look.k === 'no majority') return null;
      if (look.k === 'ahead') await this.catchUpFrom(look.member, state.generation);
      else if (++pendingLooks < looksBeforeBallot)
        await pause.for(this.clock, pendingPauseMs * (0.5 + this.random.fraction()));
      else if (this.acceptor.agreed()?.generation === state.generation) await settlePending(state);
    } while (this.clock.now() < until);
    return null;
  };

  private readonly look = (state: Agreed): Promise<Look> => {
    const majority = majorityOf(state.members);
    const ask = async (member: Member): Promise<Placed | null> => {
      const position = await this.positionOf(member);
      return position === null ? null : { member, position };
    };
    return askMembers<Placed, Look>(agreedState.distinctVoters(state), ask, (replies, open) => {
      const placed = replies.filter((reply) => reply !== null);
      const ahead = placed.find(({ position }) => position.generation > state.generation);
      const pending = placed.filter(({ position }) => position.acceptedSlot === state.generation + 1);
      const clear = placed.length - pending.length;
      if (ahead !== undefined) return { k: 'ahead', member: ahead.member };
      if (clear >= majority) return { k: 'newest' };
      if (placed.length >= majority) return { k: 'pending' };
      return placed.length + open < majority ? { k: 'no majority' } : null;
    });
  };

  private readonly positionOf = (member: Member): Promise<Position | null> =>
    member.incarnation === this.acceptor.incarnation
      ? Promise.resolve(positions.of(this.acceptor))
      : this.voters.position(member);

  private readonly catchUpFrom = async (member: Member, generation: number): Promise<void> => {
    const since = await this.voters.since(member, generation);
    if (since !== null) await this.learn(since);
  };
}
