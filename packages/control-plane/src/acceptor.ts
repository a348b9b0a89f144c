import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Owner, agreed as agreedState } from '@martenworks/core-types';
import type { Agreed, Change, Clock, Disk, Log, Member, Random } from '@martenworks/core-types';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { WriteAheadLog, WriteAheadLogFault } from '@martenworks/write-ahead-log';
import { compressedChanges, compressedStates } from './compressed.js';
import { logPrefixes, removeDamagedLogs } from './memberLogs.js';

export type Ballot = readonly [number, string];

export interface Accepted {
  readonly ballot: Ballot;
  readonly change: Change;
}

export interface Settled {
  readonly generation: number;
  readonly change: Change;
}

export type Vote =
  | { readonly k: 'promised'; readonly accepted: Accepted | null }
  | { readonly k: 'accepted' }
  | { readonly k: 'denied'; readonly promised: Ballot }
  | { readonly k: 'ahead'; readonly generation: number }
  | { readonly k: 'behind'; readonly generation: number }
  | { readonly k: 'mute'; readonly cause: 'unfounded' | 'no voter' | 'disk' };

export type Since =
  | { readonly k: 'changes'; readonly settled: readonly Settled[] }
  | { readonly k: 'checkpoint'; readonly agreed: Agreed }
  | { readonly k: 'nothing' };

interface Live {
  promised: Ballot | null;
  accepted: Accepted | null;
}

/** A settled change in its compressed bytes. */
export interface CompressedSettled {
  readonly generation: number;
  readonly change: Uint8Array;
}

/** What happened, as the acceptor applies it to its memory once it is on disk. */
type AcceptorEvent =
  | { readonly t: 'identity'; readonly incarnation: string; readonly isFresh?: boolean }
  | { readonly t: 'vow'; readonly members: readonly Member[] }
  | { readonly t: 'adopted'; readonly agreed: Agreed }
  | { readonly t: 'promised'; readonly slot: number; readonly ballot: Ballot }
  | { readonly t: 'accepted'; readonly slot: number; readonly accepted: Accepted }
  | { readonly t: 'settled'; readonly settled: Settled };

/** The same on disk: changes and states compressed; a settled change that is the accepted one is not written again. Records of earlier releases are events as they stand. */
type LogRecord =
  | AcceptorEvent
  | { readonly t: 'adoptedCompressed'; readonly agreed: Uint8Array }
  | { readonly t: 'acceptedCompressed'; readonly slot: number; readonly ballot: Ballot; readonly change: Uint8Array }
  | { readonly t: 'settledCompressed'; readonly generation: number; readonly change: Uint8Array }
  | { readonly t: 'settledAsAccepted'; readonly generation: number };

interface AcceptorSnapshot {
  readonly incarnation: string;
  readonly isFresh?: boolean;
  readonly vow: readonly Member[] | null;
  readonly agreed: Agreed | null;
  readonly live: Live;
}

/** A snapshot with its state and its accepted change compressed; those of earlier releases are not. */
interface CompressedSnapshot extends Omit<AcceptorSnapshot, 'agreed' | 'live'> {
  readonly compressedAgreed: Uint8Array | null;
  readonly promised: Ballot | null;
  readonly accepted: { readonly ballot: Ballot; readonly change: Uint8Array } | null;
}

const recentLimit = 256;
const recentLimitBytes = 4 * 1024 * 1024;
const sinceLimit = 16;
const segmentsBeforeCheckpoint = 4;

export const ballots = {
  compare: (a: Ballot, b: Ballot): number => a[0] - b[0] || (a[1] < b[1] ? -1 : a[1] > b[1] ? 1 : 0),
};

const sameBytes = (a: Uint8Array, b: Uint8Array): boolean => Buffer.compare(a, b) === 0;

const snapshotOf = (held: AcceptorSnapshot | CompressedSnapshot): AcceptorSnapshot => {
  if (!('compressedAgreed' in held)) return held;
  const { compressedAgreed, promised, accepted, ...rest } = held;
  return {
    ...rest,
    agreed: compressedAgreed === null ? null : compressedStates.decode(compressedAgreed),
    live: {
      promised,
      accepted:
        accepted === null ? null : { ballot: accepted.ballot, change: compressedChanges.decode(accepted.change) },
    },
  };
};

/** One voter's part of the agreement: what it promised, accepted and knows to be settled, on disk before it is told. */
export class Acceptor {
  private readonly owner = new Owner();
  private readonly recent: CompressedSettled[] = [];
  private recentBytes = 0;
  private readonly watchers: ((settled: Settled | null) => void)[] = [];
  private state: Agreed | null = null;
  private live: Live = { promised: null, accepted: null };
  private vowed: readonly Member[] | null = null;
  private acceptedAt = 0;
  incarnation = '';
  isFresh = true;

  constructor(
    private readonly wal: WriteAheadLog,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  readonly replay = (held: AcceptorSnapshot | CompressedSnapshot | null, records: readonly LogRecord[]): void => {
    const checkpoint = held === null ? null : snapshotOf(held);
    if (checkpoint !== null) {
      this.incarnation = checkpoint.incarnation;
      this.isFresh = checkpoint.isFresh ?? true;
      this.vowed = checkpoint.vow;
      this.state = checkpoint.agreed === null ? null : agreedState.filled(checkpoint.agreed);
      this.live = checkpoint.live;
    }
    for (const record of records) {
      const event = this.eventOf(record);
      if (event !== null) this.redo(event);
    }
    this.acceptedAt = this.clock.now();
  };

  /** The event that a record of any release tells; null for a settled change that refers to an acceptance of another slot. */
  private readonly eventOf = (record: LogRecord): AcceptorEvent | null => {
    switch (record.t) {
      case 'adoptedCompressed':
        return { t: 'adopted', agreed: compressedStates.decode(record.agreed) };
      case 'acceptedCompressed':
        return {
          t: 'accepted',
          slot: record.slot,
          accepted: { ballot: record.ballot, change: compressedChanges.decode(record.change) },
        };
      case 'settledCompressed':
        return {
          t: 'settled',
          settled: { generation: record.generation, change: compressedChanges.decode(record.change) },
        };
      case 'settledAsAccepted':
        return record.generation === this.slot() && this.live.accepted !== null
          ? { t: 'settled', settled: { generation: record.generation, change: this.live.accepted.change } }
          : null;
      default:
        return record;
    }
  };

  private readonly recordOf = (event: AcceptorEvent): LogRecord => {
    switch (event.t) {
      case 'adopted':
        return { t: 'adoptedCompressed', agreed: compressedStates.encode(event.agreed) };
      case 'accepted': {
        const { ballot, change } = event.accepted;
        return { t: 'acceptedCompressed', slot: event.slot, ballot, change: compressedChanges.encode(change) };
      }
      case 'settled': {
        const { generation, change } = event.settled;
        const bytes = compressedChanges.encode(change);
        const isAccepted =
          this.live.accepted !== null && sameBytes(compressedChanges.encode(this.live.accepted.change), bytes);
        return isAccepted
          ? { t: 'settledAsAccepted', generation }
          : { t: 'settledCompressed', generation, change: bytes };
      }
      default:
        return event;
    }
  };

  private readonly remember = ({ generation, change }: Settled): void => {
    const bytes = compressedChanges.encode(change);
    this.recent.push({ generation, change: bytes });
    this.recentBytes += bytes.length;
    while (this.recent.length > recentLimit || (this.recentBytes > recentLimitBytes && this.recent.length > 1))
      this.recentBytes -= this.recent.shift()?.change.length ?? 0;
  };

  private readonly redo = (record: AcceptorEvent): void => {
    switch (record.t) {
      case 'identity':
        this.incarnation = record.incarnation;
        this.isFresh = record.isFresh ?? true;
        return;
      case 'vow':
        this.vowed = record.members;
        return;
      case 'adopted':
        this.state = agreedState.filled(record.agreed);
        this.live = { promised: null, accepted: null };
        this.recent.length = 0;
        this.recentBytes = 0;
        return;
      case 'promised':
        if (record.slot === this.slot()) this.live = { ...this.live, promised: record.ballot };
        return;
      case 'accepted':
        if (record.slot === this.slot()) {
          this.live = { promised: record.accepted.ballot, accepted: record.accepted };
          this.acceptedAt = this.clock.now();
        }
        return;
      case 'settled':
        if (this.state === null || record.settled.generation !== this.slot()) return;
        this.state = agreedState.apply(this.state, record.settled.change);
        this.live = { promised: null, accepted: null };
        this.remember(record.settled);
        return;
    }
  };

  private readonly keep = async (record: AcceptorEvent): Promise<Result<void, WriteAheadLogFault>> => {
    const written = await this.wal.append(this.recordOf(record));
    if (written.isErr()) {
      this.log.error('the log did not take a record', { record: record.t, fault: written.error });
      return written;
    }
    this.redo(record);
    if (this.wal.segmentCount() > segmentsBeforeCheckpoint) {
      const made = await this.wal.checkpoint(this.capture);
      if (made.isErr()) this.log.warn('checkpoint was not written', { fault: made.error });
    }
    return written;
  };

  private readonly capture = (): CompressedSnapshot => {
    const { promised, accepted } = this.live;
    return {
      incarnation: this.incarnation,
      isFresh: this.isFresh,
      vow: this.vowed,
      compressedAgreed: this.state === null ? null : compressedStates.encode(this.state),
      promised,
      accepted:
        accepted === null ? null : { ballot: accepted.ballot, change: compressedChanges.encode(accepted.change) },
    };
  };

  readonly identify = (random: Random, isFresh: boolean): Promise<Result<void, WriteAheadLogFault>> =>
    this.owner.run(async () =>
      this.incarnation === '' ? this.keep({ t: 'identity', incarnation: random.token(8), isFresh }) : ok(undefined),
    );

  readonly agreed = (): Agreed | null => this.state;

  readonly slot = (): number => (this.state === null ? -1 : this.state.generation + 1);

  readonly isVoter = (): boolean =>
    this.state?.members.some((member) => member.incarnation === this.incarnation) === true;

  readonly unsettledFor = (): number | null =>
    this.live.accepted === null ? null : this.clock.now() - this.acceptedAt;

  readonly highestRound = (): number => this.live.promised?.[0] ?? 0;

  readonly acceptedSlot = (): number | null => (this.live.accepted === null ? null : this.slot());

  /** Whether a swap of members was accepted here that is not known to be settled. */
  readonly hasUnsettledSwap = (): boolean => this.live.accepted?.change.body.kind === 'swap';

  readonly watch = (verb: (settled: Settled | null) => void): void => void this.watchers.push(verb);

  private readonly news = (settled: Settled | null): void => {
    for (const verb of this.watchers) verb(settled);
  };

  readonly vow = (members: readonly Member[]): Promise<{ isVowed: boolean; members: readonly Member[] | null }> =>
    this.owner.run(async () => {
      if (this.state !== null) return { isVowed: false, members: null };
      if (this.vowed === null) {
        const kept = await this.keep({ t: 'vow', members });
        if (kept.isErr()) return { isVowed: false, members: null };
      }
      return { isVowed: JSON.stringify(this.vowed) === JSON.stringify(members), members: this.vowed };
    });

  readonly vowHeld = (): readonly Member[] | null => this.vowed;

  readonly adopt = (agreed: Agreed): Promise<boolean> =>
    this.owner.run(async () => {
      if (this.state !== null && this.state.generation >= agreed.generation) return false;
      const kept = await this.keep({ t: 'adopted', agreed });
      if (kept.isOk()) this.news(null);
      return kept.isOk();
    });

  private readonly objection = (slot: number): Vote | null => {
    if (this.state === null) return { k: 'mute', cause: 'unfounded' };
    if (slot < this.slot()) return { k: 'ahead', generation: this.state.generation };
    if (slot > this.slot()) return { k: 'behind', generation: this.state.generation };
    return this.isVoter() ? null : { k: 'mute', cause: 'no voter' };
  };

  readonly prepare = (slot: number, ballot: Ballot): Promise<Vote> =>
    this.owner.run(async (): Promise<Vote> => {
      const objection = this.objection(slot);
      if (objection !== null) return objection;
      if (this.live.promised !== null && ballots.compare(ballot, this.live.promised) <= 0)
        return { k: 'denied', promised: this.live.promised };
      const kept = await this.keep({ t: 'promised', slot, ballot });
      return kept.isErr() ? { k: 'mute', cause: 'disk' } : { k: 'promised', accepted: this.live.accepted };
    });

  readonly accept = (slot: number, ballot: Ballot, change: Change): Promise<Vote> =>
    this.owner.run(async (): Promise<Vote> => {
      const objection = this.objection(slot);
      if (objection !== null) return objection;
      if (this.live.promised !== null && ballots.compare(ballot, this.live.promised) < 0)
        return { k: 'denied', promised: this.live.promised };
      const kept = await this.keep({ t: 'accepted', slot, accepted: { ballot, change } });
      return kept.isErr() ? { k: 'mute', cause: 'disk' } : { k: 'accepted' };
    });

  readonly settle = (settled: Settled): Promise<boolean> =>
    this.owner.run(async () => {
      if (settled.generation !== this.slot()) return this.state !== null && settled.generation < this.slot();
      const kept = await this.keep({ t: 'settled', settled });
      if (kept.isOk()) this.news(settled);
      return kept.isOk();
    });

  readonly since = (generation: number): Since => {
    if (this.state === null) return { k: 'nothing' };
    if (generation >= this.state.generation) return { k: 'changes', settled: [] };
    const first = this.recent[0];
    const isNear = this.state.generation - generation <= sinceLimit;
    if (isNear && generation >= 0 && first !== undefined && first.generation <= generation + 1)
      return {
        k: 'changes',
        settled: this.recent
          .filter((one) => one.generation > generation)
          .map((one) => ({ generation: one.generation, change: compressedChanges.decode(one.change) })),
      };
    return { k: 'checkpoint', agreed: this.state };
  };

  /** The change in these bytes, which is mostly the one accepted already. */
  readonly changeOf = (bytes: Uint8Array): Change => {
    const accepted = this.live.accepted?.change;
    return accepted !== undefined && sameBytes(compressedChanges.encode(accepted), bytes)
      ? accepted
      : compressedChanges.decode(bytes);
  };

  /** All changes after a generation in their compressed bytes, the oldest first; null where this node no longer keeps them all. */
  readonly changesAfter = (generation: number): readonly CompressedSettled[] | null => {
    const first = this.recent[0];
    if (generation < 0 || first === undefined || first.generation > generation + 1) return null;
    return this.recent.filter((one) => one.generation > generation);
  };

  readonly segmentCount = (): number => this.wal.segmentCount();

  readonly close = (): Promise<void> => this.wal.close();
}

export const acceptors = {
  /** Opens this node's part of the agreement, first of all its logs: if any of them is damaged, all are removed and the node begins anew under another incarnation. */
  open: async (
    disk: Disk,
    clock: Clock,
    random: Random,
    log: Log,
    isFresh = true,
  ): Promise<Result<Acceptor, WriteAheadLogFault>> => {
    const removed = await removeDamagedLogs(disk, log);
    if (removed.isErr()) return err(removed.error);
    const opened = await writeAheadLogs.open(disk, logPrefixes.acceptor);
    if (opened.isErr()) return err(opened.error);
    const { wal, checkpoint, records, cutBytes } = opened.value;
    if (cutBytes > 0) log.warn('a torn tail was cut from the ledger', { wal: 'decrees', cutBytes });
    const acceptor = new Acceptor(wal, clock, log);
    acceptor.replay(checkpoint as AcceptorSnapshot | null, records as LogRecord[]);
    const identified = await acceptor.identify(random, isFresh && !removed.value);
    return identified.isErr() ? err(identified.error) : ok(acceptor);
  },
};
