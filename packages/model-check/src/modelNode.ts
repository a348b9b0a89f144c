/** One control node of a schedule: the product's consensus member on a simulated disk, clock and network. */
import { err, ok } from 'neverthrow';
import { MemberList } from '@martenworks/cluster-membership';
import type { LeaseTerms, PeerPool } from '@martenworks/cluster-membership';
import { ConsensusMember, acceptors, controlNodeSettings, leaseTables } from '@martenworks/control-plane';
import type {
  Acceptor,
  Ballot,
  ConsensusHooks,
  PersistedLeases,
  Proposer,
  MemberStatus,
  Voters,
} from '@martenworks/control-plane';
import { logs } from '@martenworks/core-types';
import type { CommittedState, Change, Clock, Disk, Ports, Random } from '@martenworks/core-types';
import { hellos } from '@martenworks/peer-transport';
import type { PeerHandlers, Hello, PeerConnection } from '@martenworks/peer-transport';
import type { InjectedFault } from './injectedFaults.js';
import type { NodeObservation } from './checker.js';
import { ModelDisk } from './modelDisk.js';
import type { Network, Process } from './network.js';
import type { SeededRandom } from './seededRandom.js';
import type { VirtualClock } from './virtualClock.js';

const { confirmTimeoutMs, consensusTiming, weightsLease } = controlNodeSettings;
const leaveTimeoutMs = 3_000;
const orderGapMs = 200;
const log = logs.silent();
/** Topics of messages without a reply; all others are calls. */
const oneWayTopics: ReadonlySet<string> = new Set(['committed', 'leaseRelease', 'leaving']);
/** Connections are modelled by `Network`, so the nodes never dial or listen. */
const unreachableNet = { dial: () => new Promise<never>(() => {}), listen: () => new Promise<never>(() => {}) };

/** What the nodes of one schedule share, and the callbacks that observe them. */
export interface NodeEnvironment {
  readonly clock: VirtualClock;
  readonly random: SeededRandom;
  readonly network: Network;
  readonly injectedFault: InjectedFault | null;
  readonly nodes: () => readonly ModelNode[];
  readonly onAccepted: (voter: Acceptor, slot: number, ballot: Ballot, change: Change) => void;
  readonly onProposed: (slot: number, change: Change) => void;
  /** Called when a node has reported its status, after which the caller may propose it as a voter. */
  readonly onMemberStatus: (incarnation: string) => void;
}

interface AcceptedVote {
  readonly slot: number;
  readonly changeId: string;
}

/** The part of a peer connection that the consensus member uses, on the simulated network. */
type Connection = Pick<PeerConnection, 'peer' | 'call' | 'send' | 'isLive' | 'close'>;

/**
 * Private members of the consensus member, by their names there: steps that its own timers would run, and parts that
 * injected faults replace.
 */
interface MemberInternals {
  peerPool: PeerPool;
  readonly checkMembership: () => void;
  readonly commitPending: () => void;
  readonly leases: { readonly start: () => void; mayGrant: () => boolean };
  readonly catchUp: {
    fromNewestPeer: () => Promise<unknown>;
    syncWith: () => Promise<unknown>;
    bringUpToDate: () => Promise<unknown>;
  };
  readonly proposer: { voters: Voters; readonly read: { newest: () => Promise<CommittedState | null> } };
  readonly membership: { proposer: Proposer };
}

/** The parts of the product that run in one process. */
interface Parts {
  readonly acceptor: Acceptor;
  readonly member: ConsensusMember;
  readonly internals: MemberInternals;
  readonly handlers: PeerHandlers;
  readonly process: Process;
}

/** One control node: the product's own consensus, membership and leases, wired as in the control node. */
export class ModelNode {
  /** The node's disk, which outlives its processes. */
  readonly disk = new ModelDisk();
  private parts: Parts | null = null;
  private run = 0;
  private tokenCount = 0;
  private lastState: CommittedState | null = null;
  private lastIncarnation = '';
  private vote: AcceptedVote | null = null;
  /** Whether the node has left for good or has not joined yet. */
  isAbsent = true;

  constructor(
    /** The node's name. */
    readonly name: string,
    private readonly environment: NodeEnvironment,
  ) {}

  /** Whether its process runs. */
  readonly isAlive = (): boolean => this.parts !== null;

  /** The acceptor of the running process; null if no process runs. */
  readonly acceptor = (): Acceptor | null => this.parts?.acceptor ?? null;

  /** The incarnation of the last process; empty after the disk was lost. */
  readonly incarnation = (): string => this.lastIncarnation;

  private readonly clockOf = (isLive: () => boolean): Clock => ({
    now: this.environment.clock.now,
    wall: this.environment.clock.now,
    after: (delayMs, callback) =>
      this.environment.clock.after(delayMs, () => {
        if (isLive()) callback();
      }),
  });

  private readonly randomOf = (): Random => ({
    fraction: this.environment.random.fraction,
    token: () => `${this.name}-${++this.tokenCount}`,
  });

  /** Starts a process on the node's disk. The start is a single step: no other step happens during it. */
  readonly start = async (): Promise<void> => {
    const run = ++this.run;
    const isLive = (): boolean => this.run === run;
    this.isAbsent = false;
    this.disk.defersSyncs = false;
    const clock = this.clockOf(isLive);
    const random = this.randomOf();
    const disk = this.disk.view(isLive);
    const opened = await acceptors.open(disk, clock, random, log, false);
    if (opened.isErr()) throw new Error(`${this.name} failed to open its acceptor: ${JSON.stringify(opened.error)}`);
    const acceptor = opened.value;
    this.environment.injectedFault?.acceptor?.(acceptor);
    const terms = controlNodeSettings.leaseTerms(acceptor, orderGapMs);
    const leases = await this.openLeases(disk, clock, terms);
    this.reportVotes(acceptor);
    const process: Process = { node: this.name, isAlive: isLive, handle: this.handle };
    const hello = (): Hello => this.helloOf(acceptor.incarnation);
    const ports = { clock, random, net: unreachableNet, disk, log } as unknown as Ports;
    const member = new ConsensusMember(
      { ports, hello, memberList: new MemberList(clock, hello), seeds: [], acceptor, leases, terms },
      this.hooks(acceptor),
      consensusTiming,
    );
    const internals = member as unknown as MemberInternals;
    this.injectFault(internals, acceptor);
    this.parts = { acceptor, member, internals, handlers: member.handlers(), process };
    internals.peerPool = this.peerPool(process);
    internals.leases.start();
    this.lastIncarnation = acceptor.incarnation;
    this.lastState = acceptor.committedState();
    this.disk.defersSyncs = true;
    for (const node of this.connectedNodes(process)) this.connectTo(node);
  };

  private readonly injectFault = (internals: MemberInternals, acceptor: Acceptor): void => {
    const { injectedFault } = this.environment;
    if (injectedFault?.voters !== undefined)
      internals.proposer.voters = injectedFault.voters(internals.proposer.voters, () => acceptor.incarnation);
    if (injectedFault?.readsLocalState === true) internals.proposer.read.newest = async () => acceptor.committedState();
    if (injectedFault?.neverCatchesUp === true)
      Object.assign(internals.catchUp, {
        fromNewestPeer: async () => {},
        syncWith: async () => false,
        bringUpToDate: async () => false,
      });
    if (injectedFault?.grantsAcrossSwaps === true) internals.leases.mayGrant = acceptor.isVoter;
    if (injectedFault?.swapProposer !== undefined)
      internals.membership.proposer = injectedFault.swapProposer(internals.membership.proposer);
  };

  /** Opens the connection to `node` and notifies both ends. */
  readonly connectTo = (node: ModelNode): void => {
    if (this.parts === null || node.parts === null) return;
    this.parts.handlers.onOpen(this.connectionTo(this.parts.process, node.parts) as PeerConnection);
    node.parts.handlers.onOpen(node.connectionTo(node.parts.process, this.parts) as PeerConnection);
  };

  private readonly hooks = (acceptor: Acceptor): ConsensusHooks => {
    const hooks = {
      extraAddresses: () => [],
      isDown: () => true,
      wantedLeases: () => (acceptor.isVoter() ? [weightsLease] : []),
      leasesChanged: () => {},
      requiresSync: false,
      syncedFrom: () => (acceptor.committedState()?.members ?? []).map((member) => member.incarnation),
      beforeMembershipCheck: async () => {
        await this.parts?.member.catchUp.fromNewestPeer();
      },
      sharedMembers: () => [],
      onOpen: () => {},
      onClose: () => {},
      onMessage: () => {},
      onCall: async () => null,
    };
    return hooks;
  };

  private readonly openLeases = async (disk: Disk, clock: Clock, terms: LeaseTerms): Promise<PersistedLeases> => {
    const faultyTable = this.environment.injectedFault?.leaseTable?.(clock, terms);
    if (faultyTable !== undefined) return { table: faultyTable, close: async () => {} };
    const opened = await leaseTables.open(disk, clock, log, terms);
    if (opened.isErr()) throw new Error(`${this.name} failed to open its leases: ${JSON.stringify(opened.error)}`);
    return opened.value;
  };

  /** Reports each change proposed to the acceptor, and each vote it gives, to the environment. */
  private readonly reportVotes = (acceptor: Acceptor): void => {
    const accept = acceptor.accept;
    (acceptor as { -readonly [Key in keyof Acceptor]: Acceptor[Key] }).accept = async (slot, ballot, change) => {
      this.environment.onProposed(slot, change);
      const vote = await accept(slot, ballot, change);
      if (vote.kind === 'accepted') {
        this.vote = { slot, changeId: change.id };
        this.environment.onAccepted(acceptor, slot, ballot, change);
      }
      return vote;
    };
  };

  /** Writes the initial state to disk before the schedule begins. */
  readonly bootstrap = async (state: CommittedState): Promise<void> => {
    this.disk.defersSyncs = false;
    await this.parts?.acceptor.adopt(state);
    this.environment.injectedFault?.disk?.(this.disk);
    this.lastState = this.parts?.acceptor.committedState() ?? null;
    this.disk.defersSyncs = true;
  };

  /** Ends the process. Its state is then read from a copy of the disk, since that is what a restart finds. */
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
    if (opened.isErr()) throw new Error(`${this.name} could not read back its disk: ${JSON.stringify(opened.error)}`);
    const acceptor = opened.value;
    this.lastState = acceptor.committedState();
    this.vote = null;
    const slot = acceptor.acceptedSlot();
    if (slot === null) return;
    const reply = await acceptor.prepare(slot, [Number.MAX_SAFE_INTEGER, 'reading back']);
    if (reply.kind === 'promised' && reply.accepted !== null) this.vote = { slot, changeId: reply.accepted.change.id };
  };

  /** Ends the process and loses the node's disk. */
  readonly loseDisk = async (): Promise<void> => {
    this.run += 1;
    this.parts = null;
    this.disk.lose();
    this.lastState = null;
    this.lastIncarnation = '';
    this.vote = null;
  };

  /**
   * A graceful shutdown, as after SIGTERM: leases and the vote are handed over. Then the machine is removed with its disk
   * if `mayLoseDisk` allows it; otherwise only the process ends.
   */
  readonly leave = async (mayLoseDisk: () => boolean): Promise<void> => {
    const parts = this.parts;
    if (parts === null) return;
    await parts.member.leave(leaveTimeoutMs);
    if (this.parts !== parts) return;
    if (!mayLoseDisk()) return this.crash(1);
    await this.loseDisk();
    this.isAbsent = true;
  };

  private readonly connectedNodes = (process: Process): ModelNode[] =>
    this.environment
      .nodes()
      .filter(
        (node) => node !== this && node.isAlive() && this.environment.network.isConnected(process.node, node.name),
      );

  private readonly partsOf = (process: Process, incarnation: string): Parts | undefined =>
    this.connectedNodes(process).find((node) => node.acceptor()?.incarnation === incarnation)?.parts ?? undefined;

  private readonly helloOf = (incarnation: string): Hello =>
    hellos.of(
      'control',
      { name: this.name, peerAddress: `${this.name}:1`, http: '', operators: null, zone: '' },
      incarnation,
    );

  private readonly connectionTo = (process: Process, peer: Parts): Connection => ({
    peer: this.helloOfPeer(peer),
    isLive: () => process.isAlive() && peer.process.isAlive(),
    close: () => {},
    call: async (topic, body, timeoutMs) => {
      const result = await this.environment.network.call(process, peer.process, topic, body, timeoutMs);
      return result.hasReply ? ok(result.value) : err({ kind: 'peer', code: 'timeout' });
    },
    send: (topic, body) => {
      this.environment.network.send(process, peer.process, topic, body);
      return true;
    },
  });

  private readonly helloOfPeer = (peer: Parts): Hello =>
    hellos.of(
      'control',
      { name: peer.process.node, peerAddress: `${peer.process.node}:1`, http: '', operators: null, zone: '' },
      peer.acceptor.incarnation,
    );

  /** A stand-in for the product's peer pool, with the connections of the simulated network. */
  private readonly peerPool = (process: Process): PeerPool => {
    const open = (): Connection[] =>
      this.connectedNodes(process).flatMap((node) =>
        node.parts === null ? [] : [this.connectionTo(process, node.parts)],
      );
    const to = (incarnation: string): Connection | undefined => {
      const peer = this.partsOf(process, incarnation);
      return peer === undefined ? undefined : this.connectionTo(process, peer);
    };
    return { openConnections: open, connectionTo: to, reconcile: () => {}, stop: () => {} } as unknown as PeerPool;
  };

  private readonly handle = async (topic: string, body: unknown, from: Process): Promise<unknown> => {
    const parts = this.parts;
    const sender = this.environment.nodes().find((node) => node.name === from.node)?.parts;
    if (parts === null || sender == null) return null;
    const connection = this.connectionTo(parts.process, sender) as PeerConnection;
    if (oneWayTopics.has(topic)) {
      parts.handlers.onMessage(connection, topic, body);
      return null;
    }
    const reply = await parts.handlers.onCall(connection, topic, body);
    if (topic !== 'memberStatus') return reply;
    this.environment.onMemberStatus(parts.acceptor.incarnation);
    return this.environment.injectedFault?.memberStatus?.(reply as MemberStatus, sender.acceptor) ?? reply;
  };

  /** Runs the control node's 300 ms membership check: fetches missing log entries, then checks the voters. */
  readonly checkMembership = (): void => this.parts?.internals.checkMembership();

  /** Runs the control node's step for an accepted change that stays uncommitted. */
  readonly commitPending = (): void => this.parts?.internals.commitPending();

  /** Runs the control node's 300 ms lease check: acquires or renews the leases it wants. */
  readonly tickLeases = (): void => void this.parts?.member.leaseManager.tick();

  /** The state returned by a linearizable read; null if no majority replied or no process runs. */
  readonly read = async (): Promise<CommittedState | null> => {
    if (this.parts === null) return null;
    return this.parts.member.proposer.linearizableRead(confirmTimeoutMs);
  };

  /** Proposes through the product's proposer; throws if no process runs. */
  readonly propose: Proposer['propose'] = (...args) => {
    if (this.parts === null) throw new Error(`${this.name} is not running`);
    return this.parts.member.proposer.propose(...args);
  };

  /** The externally visible state of the node. */
  readonly observation = (): NodeObservation => {
    const acceptor = this.acceptor();
    if (acceptor !== null) this.lastState = acceptor.committedState();
    const slot = (this.lastState?.logIndex ?? -1) + 1;
    return {
      node: this.name,
      incarnation: this.lastIncarnation,
      isAlive: this.isAlive(),
      isLost: this.lastIncarnation === '',
      state: this.lastState,
      accepted: this.vote?.slot === slot ? this.vote : null,
      fencingToken: this.parts?.member.leaseManager.fencingTokenOf(weightsLease) ?? null,
    };
  };
}
