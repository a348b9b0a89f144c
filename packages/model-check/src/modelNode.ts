import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Duties } from '@martenworks/cluster-membership';
import type { LeaseAsk, LeaseBook, LeaseReply, LeaseTerms, Lines } from '@martenworks/cluster-membership';
import { Membership, Proposer, acceptors, leaseBooks } from '@martenworks/control-plane';
import type { Acceptor, Ballot, Settled, Since, Standing, Vote, Voters } from '@martenworks/control-plane';
import { logs } from '@martenworks/core-types';
import type { Agreed, Change, Clock, Member, Random } from '@martenworks/core-types';
import { hellos } from '@martenworks/peer-transport';
import type { Hello } from '@martenworks/peer-transport';
import type { Break } from './breaks.js';
import type { Observed } from './checker.js';
import { ModelDisk } from './modelDisk.js';
import type { Network, Process } from './network.js';
import type { SeededRandom } from './random.js';
import type { VirtualClock } from './virtualClock.js';

const votePatienceMs = 800;
const leasePatienceMs = 500;
const confirmPatienceMs = 700;
const strangerWaitMs = 2_500;
const leaseMs = 1_600;
const leaseMarginMs = 400;
const orderGapMs = 200;
const fencesPerGeneration = 1_000;
const duty = 'weights';
const log = logs.silent();

/** What nodes share within one schedule. */
export interface Surroundings {
  readonly clock: VirtualClock;
  readonly random: SeededRandom;
  readonly network: Network;
  readonly broken: Break | null;
  readonly nodes: () => readonly ModelNode[];
  readonly onAccepted: (voter: Acceptor, slot: number, ballot: Ballot, change: Change) => void;
  readonly onOffered: (slot: number, change: Change) => void;
}

interface VoteHeld {
  readonly slot: number;
  readonly changeId: string;
}

/** The parts of the product that run in one process. */
interface Parts {
  readonly acceptor: Acceptor;
  readonly proposer: Proposer;
  readonly membership: Membership;
  readonly leaseBook: LeaseBook;
  readonly duties: Duties;
  readonly process: Process;
}

/** One core node: the product's own agreement, membership and leases, wired as the control node wires them. */
export class ModelNode {
  readonly disk = new ModelDisk();
  private parts: Parts | null = null;
  private run = 0;
  private identities = 0;
  private isMinding = false;
  private lastState: Agreed | null = null;
  private lastIncarnation = '';
  private vote: VoteHeld | null = null;
  /** It has left for good, or its machine was never started. */
  isAway = true;

  constructor(
    readonly name: string,
    private readonly world: Surroundings,
  ) {}

  readonly isAlive = (): boolean => this.parts !== null;

  readonly acceptor = (): Acceptor | null => this.parts?.acceptor ?? null;

  readonly incarnation = (): string => this.lastIncarnation;

  private readonly clockOf = (isLive: () => boolean): Clock => ({
    now: this.world.clock.now,
    wall: this.world.clock.now,
    after: (delayMs, ring) =>
      this.world.clock.after(delayMs, () => {
        if (isLive()) ring();
      }),
  });

  private readonly randomOf = (): Random => ({
    fraction: this.world.random.fraction,
    token: () => `${this.name}-${++this.identities}`,
  });

  /** Starts the process on its disk. The start itself is one step: nothing else happens within it. */
  readonly start = async (): Promise<void> => {
    const run = ++this.run;
    const isLive = (): boolean => this.run === run;
    this.isAway = false;
    this.disk.isGated = false;
    const clock = this.clockOf(isLive);
    const random = this.randomOf();
    const disk = this.disk.view(isLive);
    const opened = await acceptors.open(disk, clock, random, log, false);
    if (opened.isErr()) throw new Error(`${this.name} did not open: ${JSON.stringify(opened.error)}`);
    const acceptor = opened.value;
    this.world.broken?.acceptor?.(acceptor);
    const terms: LeaseTerms = {
      leaseMs,
      marginMs: leaseMarginMs,
      gapMs: orderGapMs,
      floor: () => (acceptor.agreed()?.generation ?? 0) * fencesPerGeneration,
    };
    const leaseBook = await this.openLeases(disk, clock, terms);
    const process: Process = { node: this.name, isAlive: isLive, handle: this.handle };
    const proposer = new Proposer(acceptor, this.voters(acceptor, process), clock, random, log);
    const membership = new Membership(
      acceptor,
      this.world.broken?.swapProposer?.(proposer) ?? proposer,
      clock,
      () => this.lines(process),
      () => true,
      log,
      strangerWaitMs,
    );
    const duties = this.dutiesOf(acceptor, leaseBook, process, clock, terms);
    this.parts = { acceptor, proposer, membership, leaseBook, duties, process };
    this.lastIncarnation = acceptor.incarnation;
    this.lastState = acceptor.agreed();
    this.isMinding = false;
    this.disk.isGated = true;
  };

  private readonly openLeases = async (
    disk: ReturnType<ModelDisk['view']>,
    clock: Clock,
    terms: LeaseTerms,
  ): Promise<LeaseBook> => {
    const broken = this.world.broken?.leaseBook?.(clock, terms);
    if (broken !== undefined) return broken;
    const opened = await leaseBooks.open(disk, clock, log, terms);
    if (opened.isErr()) throw new Error(`${this.name} did not open its leases: ${JSON.stringify(opened.error)}`);
    return opened.value.book;
  };

  private readonly dutiesOf = (
    acceptor: Acceptor,
    leaseBook: LeaseBook,
    process: Process,
    clock: Clock,
    terms: LeaseTerms,
  ): Duties =>
    new Duties(
      clock,
      () => acceptor.incarnation,
      () => this.reachableVoters(acceptor),
      () => (acceptor.isVoter() ? [duty] : []),
      (ask) => this.askLeases(acceptor, leaseBook, process, ask),
      (ask) => {
        leaseBook.release(ask);
        this.tellOthers(process, 'leaseDrop', ask);
      },
      () => Math.floor((acceptor.agreed()?.members.length ?? 0) / 2) + 1,
      () => {},
      terms,
    );

  /** Puts the founding state on disk, before the schedule begins. */
  readonly found = async (state: Agreed): Promise<void> => {
    this.disk.isGated = false;
    await this.parts?.acceptor.adopt(state);
    this.world.broken?.disk?.(this.disk);
    this.lastState = this.parts?.acceptor.agreed() ?? null;
    this.disk.isGated = true;
  };

  /** Ends the process. What the disk holds is read back on a copy, since that is what a restart finds. */
  readonly crash = async (keptShare: number): Promise<void> => {
    this.run += 1;
    this.parts = null;
    this.disk.crash(keptShare);
    await this.readBack();
  };

  private readonly readBack = async (): Promise<void> => {
    const clock = this.clockOf(() => true);
    const opened = await acceptors.open(
      this.disk.copy().view(() => true),
      clock,
      this.randomOf(),
      log,
      false,
    );
    if (opened.isErr()) throw new Error(`${this.name} cannot be read back: ${JSON.stringify(opened.error)}`);
    const kept = opened.value;
    this.lastState = kept.agreed();
    this.vote = null;
    const slot = kept.acceptedSlot();
    if (slot === null) return;
    const told = await kept.prepare(slot, [Number.MAX_SAFE_INTEGER, 'reading back']);
    if (told.k === 'promised' && told.accepted !== null) this.vote = { slot, changeId: told.accepted.change.id };
  };

  readonly loseDisk = async (): Promise<void> => {
    this.run += 1;
    this.parts = null;
    this.disk.lose();
    this.lastState = null;
    this.lastIncarnation = '';
    this.vote = null;
  };

  /** An orderly end that never comes back, as after SIGTERM on a machine that is given away. */
  readonly leave = async (): Promise<void> => {
    this.parts?.duties.resign();
    await this.loseDisk();
    this.isAway = true;
  };

  private readonly connected = (process: Process): ModelNode[] =>
    this.world
      .nodes()
      .filter((node) => node !== this && node.isAlive() && this.world.network.isConnected(process.node, node.name));

  private readonly processOf = (process: Process, incarnation: string): Process | undefined =>
    this.connected(process).find((node) => node.acceptor()?.incarnation === incarnation)?.parts?.process;

  private readonly helloOf = (name: string, incarnation: string): Hello =>
    hellos.of('postmaster', { name, coach: `${name}:1`, http: '', operators: null, zone: '' }, incarnation);

  /** The held connections, as membership looks at them. */
  private readonly lines = (process: Process): Lines => {
    const connections = this.connected(process).flatMap((node) => {
      const peer = node.parts;
      if (peer === null) return [];
      return [
        {
          neighbour: this.helloOf(node.name, peer.acceptor.incarnation),
          ask: async (topic: string, body: unknown, patienceMs: number): Promise<Result<unknown, unknown>> => {
            const told = await this.world.network.ask(process, peer.process, topic, body, patienceMs);
            return told === null ? err('late') : ok(told);
          },
        },
      ];
    });
    const to = (incarnation: string): unknown =>
      connections.find((connection) => connection.neighbour.incarnation === incarnation);
    return { open: () => connections, to } as unknown as Lines;
  };

  private readonly reachableVoters = (acceptor: Acceptor): string[] =>
    (acceptor.agreed()?.members ?? [])
      .map((member) => member.incarnation)
      .filter(
        (incarnation) =>
          incarnation === acceptor.incarnation ||
          (this.parts !== null && this.processOf(this.parts.process, incarnation) !== undefined),
      );

  private readonly askMember = async (
    process: Process,
    member: Member,
    topic: string,
    body: unknown,
    patienceMs = votePatienceMs,
  ): Promise<unknown> => {
    const peer = this.processOf(process, member.incarnation);
    return peer === undefined ? null : this.world.network.ask(process, peer, topic, body, patienceMs);
  };

  private readonly tellOthers = (process: Process, topic: string, body: unknown): void => {
    for (const node of this.connected(process))
      if (node.parts !== null) this.world.network.tell(process, node.parts.process, topic, body);
  };

  private readonly askLeases = async (
    acceptor: Acceptor,
    leaseBook: LeaseBook,
    process: Process,
    ask: LeaseAsk,
  ): Promise<LeaseReply[]> => {
    const replies = await Promise.all(
      (acceptor.agreed()?.members ?? []).map(async (member) =>
        member.incarnation === acceptor.incarnation
          ? leaseBook.grant(ask)
          : ((await this.askMember(process, member, 'leaseAsk', ask, leasePatienceMs)) as LeaseReply | null),
      ),
    );
    return replies.filter((reply) => reply !== null);
  };

  /** Accepts through the product's acceptor and notes the vote for the checker. */
  private readonly accept = async (acceptor: Acceptor, slot: number, ballot: Ballot, change: Change): Promise<Vote> => {
    const vote = await acceptor.accept(slot, ballot, change);
    if (vote.k === 'accepted') {
      this.vote = { slot, changeId: change.id };
      this.world.onAccepted(acceptor, slot, ballot, change);
    }
    return vote;
  };

  private readonly voters = (acceptor: Acceptor, process: Process): Voters => {
    const isSelf = (member: Member): boolean => member.incarnation === acceptor.incarnation;
    const voters: Voters = {
      prepare: (member, slot, ballot) =>
        isSelf(member)
          ? acceptor.prepare(slot, ballot)
          : (this.askMember(process, member, 'prepare', { slot, ballot }) as Promise<Vote | null>),
      accept: (member, slot, ballot, change) => {
        this.world.onOffered(slot, change);
        return isSelf(member)
          ? this.accept(acceptor, slot, ballot, change)
          : (this.askMember(process, member, 'accept', { slot, ballot, change }) as Promise<Vote | null>);
      },
      settle: (settled) => this.tellOthers(process, 'settled', settled),
      since: (member, generation) =>
        isSelf(member)
          ? Promise.resolve(acceptor.since(generation))
          : (this.askMember(process, member, 'since', generation) as Promise<Since | null>),
      supply: async (member, since) => void (await this.askMember(process, member, 'supply', since)),
    };
    return this.world.broken?.voters?.(voters, () => acceptor.incarnation) ?? voters;
  };

  private readonly standing = (acceptor: Acceptor, asker: Process): Standing => {
    const told: Standing = {
      incarnation: acceptor.incarnation,
      generation: acceptor.agreed()?.generation ?? -1,
      isVoter: acceptor.isVoter(),
      vow: acceptor.vowHeld(),
      syncedFrom: (acceptor.agreed()?.members ?? []).map((member) => member.incarnation),
    };
    const askedBy = this.world
      .nodes()
      .find((node) => node.name === asker.node)
      ?.acceptor();
    return askedBy == null ? told : (this.world.broken?.standing?.(told, askedBy) ?? told);
  };

  private readonly handle = async (topic: string, body: unknown, from: Process): Promise<unknown> => {
    if (this.parts === null) return null;
    const { acceptor, proposer, leaseBook } = this.parts;
    switch (topic) {
      case 'prepare': {
        const { slot, ballot } = body as { slot: number; ballot: Ballot };
        return acceptor.prepare(slot, ballot);
      }
      case 'accept': {
        const { slot, ballot, change } = body as { slot: number; ballot: Ballot; change: Change };
        return this.accept(acceptor, slot, ballot, change);
      }
      case 'settled':
        return acceptor.settle(body as Settled);
      case 'since':
        return acceptor.since(body as number);
      case 'supply':
        await proposer.learn(body as Since);
        return true;
      case 'standing':
        return this.standing(acceptor, from);
      case 'leaseAsk':
        return acceptor.isVoter() ? leaseBook.grant(body as LeaseAsk) : null;
      case 'leaseDrop':
        leaseBook.release(body as LeaseAsk);
        return null;
      default:
        return null;
    }
  };

  /** What the control node does each 300 ms: fetch what it lacks, then look after the seats. */
  readonly upkeep = (): void => {
    if (this.parts === null || this.isMinding) return;
    this.isMinding = true;
    const parts = this.parts;
    void this.mind(parts).then(() => {
      if (this.parts === parts) this.isMinding = false;
    });
  };

  private readonly mind = async ({ acceptor, proposer, membership, process }: Parts): Promise<void> => {
    await Promise.all(
      this.connected(process).map(async (node) => {
        if (node.parts === null) return;
        const generation = acceptor.agreed()?.generation ?? -1;
        const told = await this.world.network.ask(process, node.parts.process, 'since', generation, votePatienceMs);
        if (told !== null) await proposer.learn(told as Since);
      }),
    );
    await membership.step();
  };

  /** What the control node does where an accepted change stays unsettled. */
  readonly settleRival = (): void => {
    if (this.parts === null) return;
    const { acceptor, proposer } = this.parts;
    if (acceptor.unsettledFor() !== null && proposer.depth() === 0) void proposer.finishRival();
  };

  readonly dutyTick = (): void => void this.parts?.duties.tick();

  /** The generation of a confirmed read; null where no majority answered. */
  readonly read = async (): Promise<Agreed | null> => {
    if (this.parts === null) return null;
    const { acceptor, proposer } = this.parts;
    const confirm = this.world.broken?.confirm ?? (() => proposer.confirm(confirmPatienceMs));
    return (await confirm()) ? acceptor.agreed() : null;
  };

  readonly propose: Proposer['propose'] = (...order) => {
    if (this.parts === null) throw new Error(`${this.name} is not running`);
    return this.parts.proposer.propose(...order);
  };

  readonly observed = (): Observed => {
    const acceptor = this.acceptor();
    if (acceptor !== null) this.lastState = acceptor.agreed();
    const slot = (this.lastState?.generation ?? -1) + 1;
    return {
      node: this.name,
      incarnation: this.lastIncarnation,
      isAlive: this.isAlive(),
      isLost: this.lastIncarnation === '',
      state: this.lastState,
      accepted: this.vote?.slot === slot ? this.vote : null,
      fence: this.parts?.duties.fenceOf(duty) ?? null,
    };
  };
}
