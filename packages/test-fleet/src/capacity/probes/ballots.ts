/** Consensus: changes committed by three members with logs on disk. */
import { ok } from 'neverthrow';
import type { Change, Member, Ports } from '@martenworks/core-types';
import { Proposer, acceptors } from '@martenworks/control-plane';
import type { Acceptor, Ballot, Position, CommittedChange, LogSuffix, Vote } from '@martenworks/control-plane';
import { peerConnections } from '@martenworks/peer-transport';
import type { PeerHandlers, PeerConnection } from '@martenworks/peer-transport';
import { fleetSize, tenantCounts } from '../fleetSize.js';
import { repeat, startMeasurement, until, range } from '../measuring.js';
import { Meter, freeAddress } from '../meteredNet.js';
import { probePorts } from '../probePorts.js';
import { sampleData } from '../sampleData.js';
import { defineSeries, measurementsOf } from '../series.js';
import type { Probe } from './probe.js';

const repeats = 3;
const changesPerRepeat = 4;
const timeoutMs = 5_000;

const defineAll = () =>
  defineSeries({
    wall: 'ballots/wall',
    cpu: 'ballots/cpu',
    bytes: 'ballots/bytes',
  });

interface MemberNode {
  readonly acceptor: Acceptor;
  readonly member: Member;
  readonly close: () => Promise<void>;
}

const respond = (acceptor: Acceptor, topic: string, body: unknown): unknown => {
  const { slot, ballot, change } = (body ?? {}) as { slot: number; ballot: Ballot; change: Change };
  if (topic === 'prepare') return acceptor.prepare(slot, ballot);
  if (topic === 'accept') return acceptor.accept(slot, ballot, change);
  return acceptor.logSuffixAfter(body as number);
};

const openMember = async (meter: Meter, at: number): Promise<MemberNode> => {
  const ports = probePorts(meter);
  const acceptor = (await acceptors.open(ports.disk, ports.clock, ports.random, ports.log))._unsafeUnwrap();
  const address = await freeAddress();
  const handlers: PeerHandlers = {
    onOpen: () => {},
    onClose: () => {},
    onMessage: (_connection, topic, body) => void (topic === 'committed' && acceptor.commit(body as CommittedChange)),
    onCall: async (_connection, topic, body) => respond(acceptor, topic, body),
  };
  const hello = sampleData.helloOf('control', at, address);
  const listener = (
    await peerConnections.listen(ports.net, ports.clock, ports.log, () => hello, address, handlers)
  )._unsafeUnwrap();
  return {
    acceptor,
    member: { name: `postmaster-${at}`, address, incarnation: acceptor.incarnation },
    close: async () => {
      await listener.close();
      await acceptor.close();
    },
  };
};

type Connections = ReadonlyMap<string, PeerConnection>;

const connect = async (ports: Ports, own: MemberNode, others: readonly MemberNode[]): Promise<Connections> => {
  const noHandlers: PeerHandlers = {
    onOpen: () => {},
    onClose: () => {},
    onMessage: () => {},
    onCall: async () => null,
  };
  const hello = sampleData.helloOf('control', 0, own.member.address);
  const connections = new Map<string, PeerConnection>();
  for (const { member } of others) {
    const dialed = await peerConnections.dial(ports.net, ports.clock, ports.log, hello, member.address, noHandlers);
    connections.set(member.incarnation, dialed._unsafeUnwrap());
  }
  return connections;
};

const proposerOf = (ports: Ports, own: Acceptor, connections: Connections): Proposer => {
  const call = async <T>(member: Member, topic: string, body: unknown): Promise<T | null> => {
    const connection = connections.get(member.incarnation) as PeerConnection;
    return (await connection.call(topic, body, timeoutMs)).unwrapOr(null) as T | null;
  };
  const isOwn = (member: Member): boolean => member.incarnation === own.incarnation;
  return new Proposer(
    own,
    {
      prepare: (member, slot, ballot) =>
        isOwn(member) ? own.prepare(slot, ballot) : call<Vote>(member, 'prepare', { slot, ballot }),
      accept: (member, slot, ballot, change) =>
        isOwn(member) ? own.accept(slot, ballot, change) : call<Vote>(member, 'accept', { slot, ballot, change }),
      position: (member) => call<Position>(member, 'position', null),
      broadcastCommit: (committed) => {
        for (const connection of connections.values()) connection.send('committed', committed);
      },
      logSuffixAfter: (member, logIndex) =>
        isOwn(member) ? Promise.resolve(own.logSuffixAfter(logIndex)) : call<LogSuffix>(member, 'since', logIndex),
      bringUpToDate: async () => {},
    },
    ports.clock,
    ports.random,
    ports.log,
  );
};

const propose = async (proposer: Proposer, tenants: number, configVersion: number): Promise<void> => {
  const outcome = await proposer.propose(
    (state) => ok(sampleData.configChange(tenants, configVersion, state.configLogIndex)),
    `push-${configVersion}`,
    configVersion.toString(16).padStart(32, '0'),
    timeoutMs,
  );
  if (outcome.isErr()) throw new Error(`a change was not committed: ${JSON.stringify(outcome.error)}`);
};

const measureTenants = async (series: ReturnType<typeof defineAll>, tenants: number): Promise<void> => {
  const meter = new Meter();
  const nodes: MemberNode[] = [];
  for (const at of range(fleetSize.voters)) nodes.push(await openMember(meter, at));
  const members = nodes.map((node) => node.member);
  for (const { acceptor } of nodes) await acceptor.adopt(sampleData.stateOf(tenants, 0, members));
  const [own, ...others] = nodes as [MemberNode, ...MemberNode[]];
  const ports = probePorts(meter);
  const connections = await connect(ports, own, others);
  const proposer = proposerOf(ports, own.acceptor, connections);
  const isCommittedEverywhere = (): boolean =>
    nodes.every(({ acceptor }) => acceptor.committedState()?.logIndex === own.acceptor.committedState()?.logIndex);
  await repeat(repeats, 1, async (isMeasured, round) => {
    const usage = startMeasurement(meter);
    for (const at of range(changesPerRepeat)) await propose(proposer, tenants, round * changesPerRepeat + at + 1);
    if (!isMeasured) return;
    series.wall.add(tenants, usage().wallMs / changesPerRepeat);
    await until(isCommittedEverywhere, timeoutMs);
    const { cpuMs, sentBytes } = usage();
    series.cpu.add(tenants, cpuMs / changesPerRepeat / fleetSize.voters);
    series.bytes.add(tenants, sentBytes / changesPerRepeat);
  });
  for (const connection of connections.values()) connection.close();
  for (const node of nodes) await node.close();
};

/** Measures commits by the number of tenants in the state. */
export const ballotsProbe: Probe = {
  name: 'ballots',
  measure: async () => {
    const series = defineAll();
    for (const tenants of tenantCounts) await measureTenants(series, tenants);
    return measurementsOf(series);
  },
};
