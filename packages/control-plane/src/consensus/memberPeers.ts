/** The members of the consensus group as seen from this node, and the connections to them. */
import { background, stateMachine } from '@martenworks/core-types';
import type { Member } from '@martenworks/core-types';
import type { PeerPool } from '@martenworks/cluster-membership';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { Acceptor } from './acceptor.js';
import type { MessageCheck } from '../messages/messageChecks.js';
import { majorityOf } from './quorumCall.js';

/** Looks up members and their connections on each call, since both change. */
export class MemberPeers {
  constructor(
    private readonly acceptor: Acceptor,
    private readonly peerPool: () => PeerPool,
  ) {}

  /** The members in the committed state; none before the cluster exists. */
  readonly members = (): readonly Member[] => this.acceptor.committedState()?.members ?? [];

  /** The members, each incarnation once. */
  readonly distinctVoters = (): Member[] => stateMachine.distinctVoters(this.acceptor.committedState());

  /** Whether the member is this node. */
  readonly isSelf = (member: Member): boolean => member.incarnation === this.acceptor.incarnation;

  /** The open connection to a member, if any. */
  readonly connectionTo = (member: Member): PeerConnection | undefined =>
    this.peerPool().connectionTo(member.incarnation);

  /** Open connections to the other control nodes, voters or not. */
  readonly controlNodes = (): PeerConnection[] =>
    this.peerPool()
      .openConnections()
      .filter((connection) => connection.peer?.role === 'control');

  /** Sends a message to all other control nodes, without a reply. */
  readonly broadcast = (topic: string, body: unknown): void => {
    for (const connection of this.controlNodes()) connection.send(topic, body);
  };

  /** Incarnations of the voters with an open connection, including this node if it is a voter. */
  readonly reachableVoters = (): string[] =>
    this.distinctVoters()
      .filter((member) => this.isSelf(member) || this.connectionTo(member) !== undefined)
      .map((member) => member.incarnation);

  /**
   * Age in milliseconds of this node's last contact with a majority of the voters, itself included; null if it is not
   * connected to a majority.
   */
  readonly majorityContactAgeMs = (): number | null => {
    const contactAgesMs = this.distinctVoters().flatMap((member) => {
      if (this.isSelf(member)) return [0];
      const connection = this.connectionTo(member);
      return connection === undefined ? [] : [connection.idleMs()];
    });
    const majority = majorityOf(this.members());
    return contactAgesMs.sort((a, b) => a - b)[majority - 1] ?? null;
  };

  /** Asks a member. Null if there is no connection, no reply within `timeoutMs`, or the reply fails the check. */
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

  /** Sends a keepalive on every open connection and closes those whose peer does not answer within `timeoutMs`. */
  readonly sendKeepalives = (timeoutMs: number): void => {
    for (const connection of this.peerPool().openConnections()) {
      const probe = connection.call('keepalive', null, timeoutMs).then((reply) => {
        if (reply.isErr() && reply.error.code === 'timeout') connection.close();
      });
      background.run('send a keepalive', probe);
    }
  };
}
