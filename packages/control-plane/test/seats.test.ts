import { expect } from 'chai';
import { ok } from 'neverthrow';
import type { Lines } from '@martenworks/cluster-membership';
import { agreed } from '@martenworks/core-types';
import type { Agreed, Change, Member } from '@martenworks/core-types';
import { acceptors, Membership, Proposer } from '@martenworks/control-plane';
import type { Acceptor, Standing, Voters } from '@martenworks/control-plane';
import { SimWorld } from '@martenworks/test-fleet';

const member = (incarnation: string): Member => ({ name: incarnation, address: `${incarnation}:1`, incarnation });

const swap = (outgoing: string, incoming: string): Change => ({
  id: `swap-${outgoing}-${incoming}`,
  digest: `${outgoing}>${incoming}`,
  body: { kind: 'swap', outgoing, incoming: member(incoming) },
});

const seatsOf = (state: Agreed): string[] => state.members.map(({ incarnation }) => incarnation);

const finish = async <T>(world: SimWorld, work: Promise<T>): Promise<T> => {
  const held: { value: T }[] = [];
  void work.then((value) => held.push({ value }));
  await world.until('a call', () => held.length > 0);
  return (held[0] as { value: T }).value;
};

describe('the seats of the voters', () => {
  const founded = agreed.founded([member('a'), member('b'), member('x')]);

  it('given two swaps prepared for one newcomer, when both are settled, then the second is void, uses up its generation and gives no second seat', () => {
    const first = agreed.apply(founded, swap('x', 'n'));
    expect(seatsOf(first)).to.deep.equal(['a', 'b', 'n']);
    expect(agreed.isVoid(first, swap('a', 'n'))).to.equal(true);
    const second = agreed.apply(first, swap('a', 'n'));
    expect(seatsOf(second)).to.deep.equal(['a', 'b', 'n']);
    expect(second.generation).to.equal(2);
    expect(second.changeIds['swap-a-n']?.generation).to.equal(2);
  });

  it('given a swap whose outgoing member has no seat, when it is settled, then it is void', () => {
    const first = agreed.apply(founded, swap('x', 'n'));
    expect(agreed.isVoid(first, swap('x', 'm'))).to.equal(true);
    expect(seatsOf(agreed.apply(first, swap('x', 'm')))).to.deep.equal(['a', 'b', 'n']);
    expect(agreed.isVoid(founded, swap('x', 'n'))).to.equal(false);
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
      settle: () => {},
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
    const prepared = agreed.founded([own, member('b'), member('x')]);
    await finish(world, acceptor.adopt(prepared));
    const checks: ((state: Agreed) => { isErr: () => boolean })[] = [];
    const proposer = {
      propose: async (check: (state: Agreed) => { isErr: () => boolean }) => {
        checks.push(check);
        return ok({ generation: 1, isRepeat: false });
      },
    } as unknown as Proposer;
    const standing: Standing = {
      incarnation: 'n',
      generation: 0,
      isVoter: false,
      vow: null,
      syncedFrom: [own.incarnation, 'b'],
    };
    const newcomer = { neighbour: { ...member('n'), role: 'postmaster' }, ask: async () => ok(standing) };
    const lines = { to: (incarnation: string) => (incarnation === 'x' ? undefined : newcomer), open: () => [newcomer] };
    const membership = new Membership(
      acceptor,
      proposer,
      clock,
      () => lines as unknown as Lines,
      () => true,
      log,
      { strangerWaitMs: 100, needsCopies: true },
      async () => {},
    );
    await finish(world, membership.step());
    await world.run(200);
    await finish(world, membership.step());
    expect(checks.length).to.equal(1);
    const check = checks[0] as (state: Agreed) => { isErr: () => boolean };
    expect(check(prepared).isErr()).to.equal(false);
    expect(check(agreed.apply(prepared, swap('b', 'n'))).isErr()).to.equal(true);
    expect(check(agreed.apply(prepared, swap('x', 'm'))).isErr()).to.equal(true);
  });
});
