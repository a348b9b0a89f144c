/** Receives the committed state: pushed by the source, or fetched from another control node that is ahead. */
import { background } from '@martenworks/core-types';
import type { Clock, EdgeState, EdgeStateMessage, StatePosition } from '@martenworks/core-types';
import type { PeerConnection } from '@martenworks/peer-transport';
import { packedRoutingTables } from '@martenworks/route-table';
import { edgeMessages } from './edgeMessages.js';
import type { SourceScorer } from './sourceScorer.js';

const fetchTimeoutMs = 700;
const sourceGraceMs = 120;
const sourceTimeoutMs = 1_000;

/** The log index that a control node has announced, and since when the node has been ahead of this edge. */
interface AnnouncedPosition {
  readonly logIndex: number;
  readonly at: number;
}

/** Access to the connections; `onState` is called with each newer state. */
export interface StateReceiverOptions {
  readonly clock: Clock;
  readonly scorer: SourceScorer;
  readonly source: () => PeerConnection | null;
  readonly controlNodes: () => readonly PeerConnection[];
  readonly onState: (state: EdgeState) => void;
}

/** Holds the newest state that the edge has received; never returns to an older one. */
export class StateReceiver {
  private readonly announced = new Map<PeerConnection, AnnouncedPosition>();
  private pendingFetch: PeerConnection | null = null;
  private latest: EdgeState | null = null;
  private receivedAt = 0;

  constructor(private readonly options: StateReceiverOptions) {}

  /** The newest state; null before the first. */
  readonly state = (): EdgeState | null => this.latest;

  /** The position sent to control nodes: log index -1 and version 0 before the first state. */
  readonly position = (): StatePosition => ({
    logIndex: this.latest?.logIndex ?? -1,
    configVersion: this.latest?.configVersion ?? 0,
  });

  /** Removes the announced position of a closed connection, so that it doesn't count as ahead. */
  readonly forget = (connection: PeerConnection): void => void this.announced.delete(connection);

  /** Applies a state if it is newer, and acknowledges the position that the edge has afterwards. */
  readonly handleState = (connection: PeerConnection, message: EdgeStateMessage): void => {
    if (this.latest === null || message.logIndex > this.latest.logIndex) this.applyNewer(connection, message);
    connection.send('ack', this.position());
  };

  /** Records the log index of a control node; a newer state is fetched unless the source pushes it soon. */
  readonly handleAnnouncement = (connection: PeerConnection, logIndex: number): void => {
    const previous = this.announced.get(connection);
    if (logIndex <= (previous?.logIndex ?? -1)) return;
    const { clock, source } = this.options;
    const at = this.isAhead(connection) ? (previous?.at ?? 0) : clock.now();
    this.announced.set(connection, { logIndex, at });
    if (logIndex <= this.position().logIndex) return;
    clock.after(source() === null ? 0 : sourceGraceMs, this.fetchNewer);
  };

  /** Fetches a newer state from a control node that has one; from one node at a time, and not while one is arriving. */
  readonly fetchNewer = (): void => {
    if (this.pendingFetch !== null || this.isStateArriving() || this.isSourcePushPending()) return;
    const { scorer, source, controlNodes } = this.options;
    const ahead = controlNodes().filter((connection) => this.isAhead(connection) && !scorer.isUnresponsive(connection));
    const best = ahead.find((connection) => connection === source()) ?? scorer.best(ahead);
    if (best !== null) this.fetch(best, this.position().configVersion);
  };

  private readonly applyNewer = (connection: PeerConnection, message: EdgeStateMessage): void => {
    const { configVersion, packedTable } = message;
    const current = this.position().configVersion;
    if (packedTable === null) {
      if (configVersion === current) this.apply({ ...message, table: this.latest?.table ?? null });
      else this.fetch(connection, 0);
      return;
    }
    const base = { configVersion: current, routingTable: this.latest?.table ?? null };
    const unpacked = packedRoutingTables.unpack(packedTable, base);
    if (unpacked.isOk()) this.apply({ ...message, table: unpacked.value });
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
      .some((connection) => connection.isReceiving('state') && !this.options.scorer.isUnresponsive(connection));

  /** Whether the source has a newer state and still has time to push it. */
  private readonly isSourcePushPending = (): boolean => {
    const source = this.options.source();
    if (source === null || !this.isAhead(source) || this.options.scorer.isUnresponsive(source)) return false;
    const waitingSince = Math.max(this.announced.get(source)?.at ?? 0, this.receivedAt);
    return this.options.clock.now() - waitingSince < sourceTimeoutMs;
  };

  /** `configVersion` is the version that a patch may build on; 0 requests a complete table. */
  private readonly fetch = (connection: PeerConnection, configVersion: number): void => {
    if (this.pendingFetch !== null || !connection.isLive()) return;
    this.pendingFetch = connection;
    const request = { logIndex: this.position().logIndex, configVersion };
    background.run(
      'fetch the configuration',
      connection.call('state', request, fetchTimeoutMs).then((reply) => {
        this.pendingFetch = null;
        if (reply.isOk() && edgeMessages.isState(reply.value)) this.handleState(connection, reply.value);
      }),
    );
  };
}
