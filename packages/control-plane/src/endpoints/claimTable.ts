/**
 * Claims of gateways on idempotency keys: one instance of single-decree Paxos for each key and turn, stored in a log
 * that is trimmed by age.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { claimBallots } from '@martenworks/core-types';
import type {
  Claimant,
  ClaimBallot,
  ClaimPage,
  ClaimState,
  ClaimVote,
  Clock,
  Disk,
  Log,
} from '@martenworks/core-types';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { WriteAheadLog, WriteAheadLogError } from '@martenworks/write-ahead-log';
import { legacyRecords } from '../consensus/legacyRecords.js';
import { claimLogOptions, logPrefixes } from '../consensus/memberLogs.js';

const pageSize = 4_000;
const empty: ClaimState = { turn: 0, promised: null, accepted: null };

type ClaimRecord = readonly [key: string, state: ClaimState];

interface Entry {
  state: ClaimState;
  updatedAt: number;
  serial: number;
  isDurable: boolean;
}

const mergeStates = (a: ClaimState, b: ClaimState): ClaimState => {
  if (a.turn !== b.turn) return a.turn > b.turn ? a : b;
  const promised =
    a.promised === null || (b.promised !== null && claimBallots.compare(b.promised, a.promised) > 0)
      ? b.promised
      : a.promised;
  const accepted =
    a.accepted === null || (b.accepted !== null && claimBallots.compare(b.accepted.ballot, a.accepted.ballot) > 0)
      ? b.accepted
      : a.accepted;
  return { turn: a.turn, promised, accepted };
};

/**
 * Promises and votes of one voter on claims. Each is on disk before it is sent. Claims that have not changed within the
 * retention period are removed.
 */
export class ClaimTable {
  private readonly entries = new Map<string, Entry>();
  private readonly segmentWrittenAt = new Map<number, number>();
  private serial = 0;

  constructor(
    private readonly wal: WriteAheadLog,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly retentionMs: number,
  ) {}

  /** Restores the claims from disk. Must be called once, before any other method. */
  readonly replay = (records: readonly ClaimRecord[]): void => {
    for (const [key, state] of records) this.set(key, legacyRecords.upgradeClaim(state), true);
    this.segmentWrittenAt.set(this.wal.currentSegment() - 1, this.clock.now());
  };

  private readonly set = (key: string, state: ClaimState, isDurable: boolean): Entry => {
    const previous = this.entries.get(key);
    if (previous !== undefined) this.entries.delete(key);
    const entry = { state, updatedAt: this.clock.now(), serial: ++this.serial, isDurable };
    this.entries.set(key, entry);
    return entry;
  };

  private readonly isDurable = (key: string): boolean => this.entries.get(key)?.isDurable ?? true;

  private readonly stateOf = (key: string): ClaimState => this.entries.get(key)?.state ?? empty;

  private readonly persist = async (key: string, state: ClaimState): Promise<boolean> => {
    const entry = this.set(key, state, false);
    const written = await this.wal.append([key, state] satisfies ClaimRecord);
    if (written.isErr()) {
      this.log.error('log append failed for a claim', { fault: written.error });
      return false;
    }
    entry.isDurable = true;
    this.segmentWrittenAt.set(this.wal.currentSegment(), this.clock.now());
    return true;
  };

  private readonly stateForTurn = (key: string, turn: number): ClaimState => {
    const state = this.stateOf(key);
    return state.turn < turn ? { turn, promised: null, accepted: null } : state;
  };

  /**
   * Phase 1: promises the ballot for a key's turn unless an equal or higher one was promised. Returns `unavailable` if
   * the write failed.
   */
  readonly prepare = async (key: string, turn: number, ballot: ClaimBallot): Promise<ClaimVote> => {
    const state = this.stateForTurn(key, turn);
    if (state.turn > turn || (state.promised !== null && claimBallots.compare(ballot, state.promised) <= 0))
      return { kind: 'state', isGranted: false, state };
    const next: ClaimState = { ...state, promised: ballot };
    return (await this.persist(key, next)) ? { kind: 'state', isGranted: true, state: next } : { kind: 'unavailable' };
  };

  /**
   * Phase 2: accepts the claimant for a key's turn unless a higher ballot was promised. Returns `unavailable` if the
   * write failed.
   */
  readonly accept = async (key: string, turn: number, ballot: ClaimBallot, claimant: Claimant): Promise<ClaimVote> => {
    const state = this.stateForTurn(key, turn);
    if (state.turn > turn || claimBallots.isHigher(state.promised, ballot))
      return { kind: 'state', isGranted: false, state };
    const next: ClaimState = { turn, promised: ballot, accepted: { ballot, claimant } };
    return (await this.persist(key, next)) ? { kind: 'state', isGranted: true, state: next } : { kind: 'unavailable' };
  };

  /** Ends a key's turn, so that the key can be claimed again in the next one; false if the write failed. */
  readonly release = async (key: string, turn: number): Promise<boolean> => {
    const state = this.stateOf(key);
    if (state.turn > turn) return this.isDurable(key) || this.persist(key, state);
    return this.persist(key, { turn: turn + 1, promised: null, accepted: null });
  };

  /**
   * Returns up to 4,000 claims that changed after the serial number `from`. `next` is the serial number to continue
   * from, null on the last page.
   */
  readonly page = (from: number): ClaimPage => {
    const entries: ClaimRecord[] = [];
    for (const [key, entry] of this.entries) {
      if (entry.serial <= from) continue;
      entries.push([key, entry.state]);
      if (entries.length >= pageSize) return { entries, next: entry.serial };
    }
    return { entries, next: null };
  };

  /** Merges another voter's claims into this table; false if not all of them could be written to disk. */
  readonly mergePage = async (page: ClaimPage): Promise<boolean> => {
    const persisted = await Promise.all(
      page.entries.map(async ([key, received]) => {
        const current = this.stateOf(key);
        const state = mergeStates(current, received);
        return this.isDurable(key) && JSON.stringify(state) === JSON.stringify(current)
          ? true
          : this.persist(key, state);
      }),
    );
    return persisted.every(Boolean);
  };

  /**
   * Removes claims that have not changed within the retention period, and log segments that contain only such claims.
   */
  readonly trim = async (): Promise<void> => {
    const now = this.clock.now();
    for (const [key, entry] of this.entries) {
      if (now - entry.updatedAt <= this.retentionMs) break;
      this.entries.delete(key);
    }
    let keepFrom = this.wal.currentSegment();
    for (const [segment, writtenAt] of this.segmentWrittenAt)
      if (now - writtenAt <= this.retentionMs) keepFrom = Math.min(keepFrom, segment);
    for (const segment of [...this.segmentWrittenAt.keys()])
      if (segment < keepFrom) this.segmentWrittenAt.delete(segment);
    await this.wal.removeSegmentsBefore(keepFrom);
  };

  /** Returns the number of claims in memory. */
  readonly size = (): number => this.entries.size;

  /** Closes the log. */
  readonly close = (): Promise<void> => this.wal.close();
}

/**
 * Opens the claim table of a node. `retentionMs` is how long an unchanged claim is kept. The error is a disk error or a
 * damaged log.
 */
export const claimTables = {
  open: async (
    disk: Disk,
    clock: Clock,
    log: Log,
    retentionMs: number,
  ): Promise<Result<ClaimTable, WriteAheadLogError>> => {
    const opened = await writeAheadLogs.open(disk, logPrefixes.claims, claimLogOptions);
    if (opened.isErr()) return err(opened.error);
    const { wal, records, cutBytes } = opened.value;
    if (cutBytes > 0) log.warn('truncated a torn log tail', { wal: 'claims', cutBytes });
    const table = new ClaimTable(wal, clock, log, retentionMs);
    table.replay(records as ClaimRecord[]);
    return ok(table);
  },
};
