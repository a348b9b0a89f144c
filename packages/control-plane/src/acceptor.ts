import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Owner, agreed as agreedState } from '@martenworks/core-types';
import type { Agreed, Change, Clock, Disk, Log, Member, Random } from '@martenworks/core-types';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { WriteAheadLog, WriteAheadLogFault } from '@martenworks/write-ahead-log';

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

type LogRecord =
  | { readonly t: 'identity'; readonly incarnation: string; readonly isFresh?: boolean }
  | { readonly t: 'vow'; readonly members: readonly Member[] }
  | { readonly t: 'adopted'; readonly agreed: Agreed }
  | { readonly t: 'promised'; readonly slot: number; readonly ballot: Ballot }
  | { readonly t: 'accepted'; readonly slot: number; readonly accepted: Accepted }
  | { readonly t: 'settled'; readonly settled: Settled };

interface AcceptorSnapshot {
  readonly incarnation: string;
  readonly isFresh?: boolean;
  readonly vow: readonly Member[] | null;
  readonly agreed: Agreed | null;
  readonly live: Live;
}

const recentLimit = 256;
const sinceLimit = 16;
const segmentsBeforeCheckpoint = 4;

export const ballots = {
  compare: (a: Ballot, b: Ballot): number => a[0] - b[0] || (a[1] < b[1] ? -1 : a[1] > b[1] ? 1 : 0),
};

export class Acceptor {
  private readonly owner = new Owner();
  private readonly recent: Settled[] = [];
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

  readonly replay = (checkpoint: AcceptorSnapshot | null, records: readonly LogRecord[]): void => {
    if (checkpoint !== null) {
      this.incarnation = checkpoint.incarnation;
      this.isFresh = checkpoint.isFresh ?? true;
      this.vowed = checkpoint.vow;
      this.state = checkpoint.agreed === null ? null : agreedState.filled(checkpoint.agreed);
      this.live = checkpoint.live;
    }
    for (const record of records) this.redo(record);
    this.acceptedAt = this.clock.now();
  };

  private readonly redo = (record: LogRecord): void => {
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
        this.recent.push(record.settled);
        if (this.recent.length > recentLimit) this.recent.shift();
        return;
    }
  };

  private readonly keep = async (record: LogRecord): Promise<Result<void, WriteAheadLogFault>> => {
    const written = await this.wal.append(record);
    if (written.isErr()) {
      this.log.error('ledger did not take a record', { record: record.t, fault: written.error });
      return written;
    }
    this.redo(record);
    if (this.wal.segmentCount() > segmentsBeforeCheckpoint) {
      const made = await this.wal.checkpoint(this.capture);
      if (made.isErr()) this.log.warn('checkpoint was not written', { fault: made.error });
    }
    return written;
  };

  private readonly capture = (): AcceptorSnapshot => ({
    incarnation: this.incarnation,
    isFresh: this.isFresh,
    vow: this.vowed,
    agreed: this.state,
    live: this.live,
  });

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
      return { k: 'changes', settled: this.recent.filter((one) => one.generation > generation) };
    return { k: 'checkpoint', agreed: this.state };
  };

  readonly segmentCount = (): number => this.wal.segmentCount();

  readonly close = (): Promise<void> => this.wal.close();
}

export const acceptors = {
  open: async (
    disk: Disk,
    clock: Clock,
    random: Random,
    log: Log,
    isFresh = true,
  ): Promise<Result<Acceptor, WriteAheadLogFault>> => {
    const opened = await writeAheadLogs.open(disk, 'decrees');
    if (opened.isErr()) return err(opened.error);
    const { wal, checkpoint, records, cutBytes } = opened.value;
    if (cutBytes > 0) log.warn('a torn tail was cut from the ledger', { wal: 'decrees', cutBytes });
    const acceptor = new Acceptor(wal, clock, log);
    acceptor.replay(checkpoint as AcceptorSnapshot | null, records as LogRecord[]);
    const identified = await acceptor.identify(random, isFresh);
    return identified.isErr() ? err(identified.error) : ok(acceptor);
  },
};
