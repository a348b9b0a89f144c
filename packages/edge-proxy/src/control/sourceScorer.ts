/** Ranks control nodes as the source of an edge's updates. */
import type { EdgePong } from '@martenworks/core-types';
import type { PeerConnection } from '@martenworks/peer-transport';

const contactTimeoutMs = 800;

/**
 * A control node in contact with a majority outranks one with a current endpoint list, which outranks one in the edge's
 * zone.
 */
const scores = { responsive: 1, sameZone: 1, currentList: 4, majority: 8 } as const;

/** Scores control nodes by their latest pongs. */
export class SourceScorer {
  private readonly pongs = new Map<PeerConnection, EdgePong>();

  /** An endpoint list older than `listAgeLimitMs` counts as outdated. */
  constructor(
    private readonly zone: string,
    private readonly listAgeLimitMs: number,
  ) {}

  /** Records the latest pong of a control node. */
  readonly recordPong = (connection: PeerConnection, pong: EdgePong): void => void this.pongs.set(connection, pong);

  /** Removes the record of a closed connection, which then scores 0. */
  readonly forget = (connection: PeerConnection): void => void this.pongs.delete(connection);

  /** The latest pong of a control node, for the operators' pages. */
  readonly pongOf = (connection: PeerConnection): EdgePong | undefined => this.pongs.get(connection);

  /** Whether nothing was received on the connection for so long that the node may be down. */
  readonly isUnresponsive = (connection: PeerConnection): boolean => connection.idleMs() > contactTimeoutMs;

  /** The connection with the highest score, the first one among equals; null where there is none. */
  readonly best = (connections: readonly PeerConnection[]): PeerConnection | null =>
    connections.reduce<PeerConnection | null>(
      (best, connection) => (best === null || this.score(connection) > this.score(best) ? connection : best),
      null,
    );

  /**
   * Whether the candidate should replace the source. A source in contact with a majority is kept while a state is
   * arriving from it.
   */
  readonly isBetter = (candidate: PeerConnection, source: PeerConnection): boolean => {
    if (this.score(candidate) <= this.score(source)) return false;
    const hasMajority = this.pongs.get(source)?.hasMajority === true;
    return !(hasMajority && source.isReceiving('state') && !this.isUnresponsive(source));
  };

  private readonly score = (connection: PeerConnection): number => {
    const pong = this.pongs.get(connection);
    if (pong === undefined || this.isUnresponsive(connection)) return 0;
    const isCurrent = pong.listAgeMs !== null && pong.listAgeMs <= this.listAgeLimitMs;
    return (
      scores.responsive +
      (isCurrent ? scores.currentList : 0) +
      (pong.hasMajority ? scores.majority : 0) +
      (connection.peer?.zone === this.zone ? scores.sameZone : 0)
    );
  };
}
