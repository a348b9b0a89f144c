import { expect } from 'chai';
import { ok } from 'neverthrow';
import type { PeerPool } from '@martenworks/cluster-membership';
import { stateMachine } from '@martenworks/core-types';
import type { CommittedState, Change, Member } from '@martenworks/core-types';
import { acceptors, Membership, Proposer } from '@martenworks/control-plane';
import type { Acceptor, MemberStatus, Voters } from '@martenworks/control-plane';
import { SimWorld } from '@martenworks/test-fleet';

const member = (incarnation: string): Member => ({ name: incarnation, address: `${incarnation}:1`, incarnation });

const swap = (outgoing: string, incoming: string): Change => ({
  id: `swap-${outgoing}-${incoming}`,
  digest: `${outgoing}>${incoming}`,
  body: { kind: 'swap', outgoing, incoming: member(incoming) },
});

const seatsOf = (state: CommittedState): string[] => state.members.map(({ incarnation }) => incarnation);

const finish = async <T>(world: SimWorld, work: Promise<T>): Promise<T> => {
  const held: { value: T }[] = [];
  void work.then((value) => held.push({ value }));
  await world.until('a call', () => held.length > 0);
  return (held[0] as { value: T }).value;
};

describe('the seats of the voters', () => {
  const founded = stateMachine.initialState([member('a'), member('b'), member('x')]);

  it('given two swaps prepared for one newcomer, when both are settled, then the second is void, uses up its generation and gives no second seat', () => {
    const first = stateMachine.apply(founded, swap('x', 'n'));
    expect(seatsOf(first)).to.deep.equal(['a', 'b', 'n']);
    expect(stateMachine.isNoOp(first, swap('a', 'n'))).to.equal(true);
    const second = stateMachine.apply(first, swap('a', 'n'));
    expect(seatsOf(second)).to.deep.equal(['a', 'b', 'n']);
    expect(second.logIndex).to.equal(2);
    expect(second.changeIds['swap-a-n']?.logIndex).to.equal(2);
  });

  it('given a swap whose outgoing member has no seat, when it is settled, then it is void', () => {
    const first = stateMachine.apply(founded, swap('x', 'n'));
    expect(stateMachine.isNoOp(first, swap('x', 'm'))).to.equal(true);
    expect(seatsOf(stateMachine.apply(first, swap('x', 'm')))).to.deep.equal(['a', 'b', 'n']);
    expect(stateMachine.isNoOp(founded, swap('x', 'n'))).to.equal(false);
  });

  it('given a state of an older release in which one member holds two of three seats, when that member alone votes, then it is no majority', async () => {
    const world = new SimWorld(3);
    const { disk, clock, random, log } = world.machine('10.0.0.1').ports();
    const acceptor: Acceptor = (await finish(world, acceptors.open(disk, clock, random, log)))._unsafeUnwrap();
    const own = member(acceptor.incarnation);
    await finish(world, acceptor.adopt({ ...founded, members: [own, member('b'), own] }));
    const voters: Voters = {
      prepare: async (to, slot, ballot) => (to.incarnation === own.incarnation ? acceptor.prepare(slot, ballot) : null),
      accept: async (to, slot, ballot, change) =>
        to.incarnation === own.incarnation ? acceptor.accept(slot, ballot, change) : null,
      position: async () => null,
      commit: () => {},
      since: async () => null,
      supply: async () => {},
    };
    const proposer = new Proposer(acceptor, voters, clock, random, log);
    expect(await finish(world, proposer.confirm(500))).to.equal(null);
  });

  it('given a swap that another member settled first, when it is tried again, then its check refuses it on the state in force', async () => {
    const world = new SimWorld(4);
    const { disk, clock, random, log } = world.machine('10.0.0.1').ports();
    const acceptor: Acceptor = (await finish(world, acceptors.open(disk, clock, random, log)))._unsafeUnwrap();
    const own = member(acceptor.incarnation);
    const prepared = stateMachine.initialState([own, member('b'), member('x')]);
    await finish(world, acceptor.adopt(prepared));
    const checks: ((state: CommittedState) => { isErr: () => boolean })[] = [];
    const proposer = {
      propose: async (check: (state: CommittedState) => { isErr: () => boolean }) => {
        checks.push(check);
        return ok({ logIndex: 1, isRepeat: false });
      },
    } as unknown as Proposer;
    const memberStatus: MemberStatus = {
      incarnation: 'n',
      logIndex: 0,
      isVoter: false,
      foundingVote: null,
      syncedFrom: [own.incarnation, 'b'],
    };
    const newcomer = { peer: { ...member('n'), role: 'control' }, call: async () => ok(memberStatus) };
    const peerPool = {
      connectionTo: (incarnation: string) => (incarnation === 'x' ? undefined : newcomer),
      openConnections: () => [newcomer],
    };
    const membership = new Membership(
      acceptor,
      proposer,
      clock,
      () => peerPool as unknown as PeerPool,
      () => true,
      log,
      { strangerWaitMs: 100, needsCopies: true },
      async () => {},
    );
    await finish(world, membership.step());
    await world.run(200);
    await finish(world, membership.step());
    expect(checks.length).to.equal(1);
    const check = checks[0] as (state: CommittedState) => { isErr: () => boolean };
    expect(check(prepared).isErr()).to.equal(false);
    expect(check(stateMachine.apply(prepared, swap('b', 'n'))).isErr()).to.equal(true);
    expect(check(stateMachine.apply(prepared, swap('x', 'm'))).isErr()).to.equal(true);
  });
});
