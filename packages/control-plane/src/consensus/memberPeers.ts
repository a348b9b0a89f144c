/** The other members of the consensus group as seen from this node: who they are, and the connections to them. */
import { background, stateMachine } from '@martenworks/core-types';
import type { Member } from '@martenworks/core-types';
import type { PeerPool } from '@martenworks/cluster-membership';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { Acceptor } from './acceptor.js';
import type { MessageCheck } from '../messages/messageChecks.js';
import { majorityOf } from './quorumCall.js';

/** Looks up members and their connections anew on each call, as both change. */
export class MemberPeers {
  constructor(
    private readonly acceptor: Acceptor,
    private readonly peerPool: () => PeerPool,
  ) {}

  /** The members of the committed state; none before the cluster is founded. */
  readonly members = (): readonly Member[] => this.acceptor.agreed()?.members ?? [];

  /** The members with each incarnation once. */
  readonly distinctVoters = (): Member[] => stateMachine.distinctVoters(this.acceptor.agreed());

  /** Whether the member is this node. */
  readonly isSelf = (member: Member): boolean => member.incarnation === this.acceptor.incarnation;

  /** The open connection to a member, if there is one. */
  readonly connectionTo = (member: Member): PeerConnection | undefined =>
    this.peerPool().connectionTo(member.incarnation);

  /** Open connections to the other control nodes, voters or not. */
  readonly controlNodes = (): PeerConnection[] =>
    this.peerPool()
      .openConnections()
      .filter((connection) => connection.peer?.role === 'control');

  /** Sends a message to all other control nodes, without a reply. */
  readonly tellAll = (topic: string, body: unknown): void => {
    for (const connection of this.controlNodes()) connection.send(topic, body);
  };

  /** Incarnations of the voters with an open connection, this node's own among them if it is one. */
  readonly reachableVoters = (): string[] =>
    this.distinctVoters()
      .filter((member) => this.isSelf(member) || this.connectionTo(member) !== undefined)
      .map((member) => member.incarnation);

  /**
   * Milliseconds since this node last had bytes of each of a majority of the voters, itself counted; null where it has
   * no connection to one.
   */
  readonly majorityHeardMs = (): number | null => {
    const silences = this.distinctVoters().flatMap((member) => {
      if (this.isSelf(member)) return [0];
      const connection = this.connectionTo(member);
      return connection === undefined ? [] : [connection.idleMs()];
    });
    const majority = majorityOf(this.members());
    return silences.sort((a, b) => a - b)[majority - 1] ?? null;
  };

  /** A member's reply that passes the check; null where none came in time or it is malformed. */
  readonly ask = async <T>(
    member: Member,
    topic: string,
    body: unknown,
    check: MessageCheck<T>,
    timeoutMs: number,
  ): Promise<T | null> => {
    const reply = await this.connectionTo(member)?.call(topic, body, timeoutMs);
    return reply?.isOk() === true && check(reply.value) ? reply.value : null;
  };

  /** Probes every open connection and closes those whose peer does not answer in time. */
  readonly sendKeepalives = (timeoutMs: number): void => {
    for (const connection of this.peerPool().openConnections()) {
      const probe = connection.call('keepalive', null, timeoutMs).then((reply) => {
        if (reply.isErr() && reply.error.code === 'timeout') connection.close();
      });
      background.run('heartbeat a peer', probe);
    }
  };
}
