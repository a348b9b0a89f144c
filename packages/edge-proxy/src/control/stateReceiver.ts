/** How an edge gets the committed state: pushed by its source, and fetched from whichever control node is ahead. */
import { background } from '@martenworks/core-types';
import type { Clock, EdgeState, EdgeStateMessage, StatePosition } from '@martenworks/core-types';
import type { PeerConnection } from '@martenworks/peer-transport';
import { packedRoutingTables } from '@martenworks/route-table';
import { edgeMessages } from './edgeMessages.js';
import type { SourceScorer } from './sourceScorer.js';

const fetchTimeoutMs = 700;
const sourceGraceMs = 120;
const sourceTimeoutMs = 1_000;

/** The log index a control node has announced, and since when it has been ahead of this edge. */
interface AnnouncedPosition {
  readonly logIndex: number;
  readonly at: number;
}

/** What the receiver needs of the connections; `onState` is called with each newer state. */
export interface StateReceiverOptions {
  readonly clock: Clock;
  readonly scorer: SourceScorer;
  readonly source: () => PeerConnection | null;
  readonly controlNodes: () => readonly PeerConnection[];
  readonly onState: (state: EdgeState) => void;
}

/** Holds the newest state an edge has received; it never goes back to an older one. */
export class StateReceiver {
  private readonly announced = new Map<PeerConnection, AnnouncedPosition>();
  private pendingFetch: PeerConnection | null = null;
  private latest: EdgeState | null = null;
  private receivedAt = 0;

  constructor(private readonly options: StateReceiverOptions) {}

  /** The newest state; null before the first. */
  readonly state = (): EdgeState | null => this.latest;

  /** The position that is sent to control nodes: log index -1 and version 0 before the first state. */
  readonly position = (): StatePosition => ({
    logIndex: this.latest?.logIndex ?? -1,
    configVersion: this.latest?.configVersion ?? 0,
  });

  /** Drops the announced position of a connection that closed, so that it doesn't count as ahead. */
  readonly forget = (connection: PeerConnection): void => void this.announced.delete(connection);

  /** Takes a state where it is newer, and acknowledges what the edge has afterwards. */
  readonly take = (connection: PeerConnection, message: EdgeStateMessage): void => {
    if (this.latest === null || message.logIndex > this.latest.logIndex) this.takeNewer(connection, message);
    connection.tell('ack', this.position());
  };

  /** Takes the log index that a control node has; a newer state is fetched unless the source sends it soon. */
  readonly takeAnnouncement = (connection: PeerConnection, logIndex: number): void => {
    const previous = this.announced.get(connection);
    if (logIndex <= (previous?.logIndex ?? -1)) return;
    const { clock, source } = this.options;
    const at = this.isAhead(connection) ? (previous?.at ?? 0) : clock.now();
    this.announced.set(connection, { logIndex, at });
    if (logIndex <= this.position().logIndex) return;
    clock.after(source() === null ? 0 : sourceGraceMs, this.fetchNewer);
  };

  /**
   * Fetches a state that some control node has and this edge doesn't, from one node at a time and never while one
   * arrives.
   */
  readonly fetchNewer = (): void => {
    if (this.pendingFetch !== null || this.isStateArriving() || this.isSourceTrusted()) return;
    const { scorer, source, controlNodes } = this.options;
    const ahead = controlNodes().filter((connection) => this.isAhead(connection) && !scorer.isSilent(connection));
    const best = ahead.find((connection) => connection === source()) ?? scorer.best(ahead);
    if (best !== null) this.fetch(best, this.position().configVersion);
  };

  private readonly takeNewer = (connection: PeerConnection, message: EdgeStateMessage): void => {
    const { configVersion, packedTable } = message;
    const current = this.position().configVersion;
    if (packedTable === null) {
      if (configVersion === current) this.apply({ ...message, table: this.latest?.table ?? null });
      else this.fetch(connection, 0);
      return;
    }
    const base = { configVersion: current, routingTable: this.latest?.table ?? null };
    const opened = packedRoutingTables.unpack(packedTable, base);
    if (opened.isOk()) this.apply({ ...message, table: opened.value });
    else this.fetch(connection, 0);
  };

  private readonly apply = (state: EdgeState): void => {
    this.latest = state;
    this.receivedAt = this.options.clock.now();
    this.options.onState(state);
  };

  private readonly isAhead = (connection: PeerConnection): boolean =>
    connection.isLive() && (this.announced.get(connection)?.logIndex ?? -1) > this.position().logIndex;

  private readonly isStateArriving = (): boolean =>
    this.options
      .controlNodes()
      .some((connection) => connection.isReceiving('state') && !this.options.scorer.isSilent(connection));

  /** Whether the source has a newer state and may still be left to push it. */
  private readonly isSourceTrusted = (): boolean => {
    const source = this.options.source();
    if (source === null || !this.isAhead(source) || this.options.scorer.isSilent(source)) return false;
    const sinceMs = Math.max(this.announced.get(source)?.at ?? 0, this.receivedAt);
    return this.options.clock.now() - sinceMs < sourceTimeoutMs;
  };

  /** `configVersion` is the version that a patch may build on, 0 for a whole table. */
  private readonly fetch = (connection: PeerConnection, configVersion: number): void => {
    if (this.pendingFetch !== null || !connection.isLive()) return;
    this.pendingFetch = connection;
    const request = { logIndex: this.position().logIndex, configVersion };
    background.run(
      'fetch the configuration',
      connection.ask('state', request, fetchTimeoutMs).then((reply) => {
        this.pendingFetch = null;
        if (reply.isOk() && edgeMessages.isState(reply.value)) this.take(connection, reply.value);
      }),
    );
  };
}
