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

const memberIncarnations = (state: CommittedState): string[] => state.members.map(({ incarnation }) => incarnation);

const finish = async <T>(world: SimWorld, work: Promise<T>): Promise<T> => {
  const results: { value: T }[] = [];
  void work.then((value) => results.push({ value }));
  await world.until('the call to complete', () => results.length > 0);
  return (results[0] as { value: T }).value;
};

describe('membership changes', () => {
  const initialState = stateMachine.initialState([member('a'), member('b'), member('x')]);

  it('given two swaps prepared for one joining node, when both are committed, then the second has no effect except that it takes a log index, and the node is a member only once', () => {
    const first = stateMachine.apply(initialState, swap('x', 'n'));
    expect(memberIncarnations(first)).to.deep.equal(['a', 'b', 'n']);
    expect(stateMachine.isNoOp(first, swap('a', 'n'))).to.equal(true);
    const second = stateMachine.apply(first, swap('a', 'n'));
    expect(memberIncarnations(second)).to.deep.equal(['a', 'b', 'n']);
    expect(second.logIndex).to.equal(2);
    expect(second.changeIds['swap-a-n']?.logIndex).to.equal(2);
  });

  it('given a swap whose outgoing node is not a member, when it is committed, then it has no effect', () => {
    const first = stateMachine.apply(initialState, swap('x', 'n'));
    expect(stateMachine.isNoOp(first, swap('x', 'm'))).to.equal(true);
    expect(memberIncarnations(stateMachine.apply(first, swap('x', 'm')))).to.deep.equal(['a', 'b', 'n']);
    expect(stateMachine.isNoOp(initialState, swap('x', 'n'))).to.equal(false);
  });

  it('given a state of an earlier release that lists one member in two of three places, when only that member votes, then it is not a majority', async () => {
    const world = new SimWorld(3);
    const { disk, clock, random, log } = world.machine('10.0.0.1').ports();
    const acceptor: Acceptor = (await finish(world, acceptors.open(disk, clock, random, log)))._unsafeUnwrap();
    const own = member(acceptor.incarnation);
    await finish(world, acceptor.adopt({ ...initialState, members: [own, member('b'), own] }));
    const voters: Voters = {
      prepare: async (to, slot, ballot) => (to.incarnation === own.incarnation ? acceptor.prepare(slot, ballot) : null),
      accept: async (to, slot, ballot, change) =>
        to.incarnation === own.incarnation ? acceptor.accept(slot, ballot, change) : null,
      position: async () => null,
      broadcastCommit: () => {},
      logSuffixAfter: async () => null,
      bringUpToDate: async () => {},
    };
    const proposer = new Proposer(acceptor, voters, clock, random, log);
    expect(await finish(world, proposer.linearizableRead(500))).to.equal(null);
  });

  it('given a swap that another member committed first, when it is retried, then its check rejects it on the current state', async () => {
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
    const joiningNode = { peer: { ...member('n'), role: 'control' }, call: async () => ok(memberStatus) };
    const peerPool = {
      connectionTo: (incarnation: string) => (incarnation === 'x' ? undefined : joiningNode),
      openConnections: () => [joiningNode],
    };
    const membership = new Membership(
      acceptor,
      proposer,
      clock,
      () => peerPool as unknown as PeerPool,
      () => true,
      log,
      { replacementDelayMs: 100, requiresSync: true },
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
