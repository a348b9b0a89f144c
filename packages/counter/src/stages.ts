import { background } from '@martenworks/core-types';
import { Admit } from './admit.js';
import type { Bench } from './bench.js';
import { Denying } from './denying.js';
import { Match } from './match.js';
import type { Parcel } from './parcel.js';
import { Stage } from './pipe.js';
import { Placing } from './placing.js';
import { Relaying } from './relaying.js';
import { Sending } from './sending.js';
import { standings } from './standing.js';

export class Stages {
  readonly live = new Set<Parcel>();
  readonly denying: Denying;
  readonly placing: Placing;
  readonly sending: Sending;
  readonly relaying: Relaying;
  private readonly admit: Admit;
  private readonly match: Match;
  private readonly door: Stage<Parcel>;

  constructor(private readonly bench: Bench) {
    const arrival = (parcel: Parcel): number => parcel.arrivedAt;
    const crowded = (parcel: Parcel): void => this.denying.refuse(parcel, 'no_capacity', 'the stage is full');
    this.denying = new Denying(bench, () => this.placing);
    this.relaying = new Relaying(bench);
    this.sending = new Sending(
      bench,
      this.denying,
      this.relaying,
      () => this.placing,
      () => this.admit.isDraining,
    );
    this.placing = new Placing(bench, this.denying, (parcel, placed) =>
      background.run('send a request', this.sending.send(parcel, placed)),
    );
    this.match = new Match(bench, this.denying, (parcel) => this.placing.queue(parcel), this.relaying.replay);
    const matching = new Stage(bench.env.queueLimit, arrival, this.match.work, crowded);
    this.admit = new Admit(bench, this.denying, matching.enter);
    this.door = new Stage(bench.env.queueLimit, arrival, this.admit.work, crowded);
  }

  readonly enter = (parcel: Parcel): void => {
    this.live.add(parcel);
    parcel.whenEnded(() => this.live.delete(parcel));
    const left = (): void => this.denying.left(parcel);
    if (parcel.order.signal.aborted) {
      left();
      return;
    }
    parcel.order.signal.addEventListener('abort', left, { once: true });
    this.door.enter(parcel);
  };

  get isDraining(): boolean {
    return this.admit.isDraining;
  }

  readonly drain = (): void => {
    this.admit.isDraining = true;
  };

  readonly recheck = (): void => {
    const view = this.bench.book.view();
    if (view === null) return;
    for (const parcel of [...this.live]) {
      if (parcel.tenant === null) continue;
      if (!standings.isKeyHeld(view, parcel)) this.denying.refuse(parcel, 'key_revoked', 'the key was revoked');
      else if (parcel.shotOn !== null) this.recheckShot(parcel, view.lanes.get(parcel.laneName)?.repeat === 'once');
      else if (!parcel.isRelaying) this.placing.renew(parcel);
    }
    this.placing.pumpAll();
  };

  private readonly recheckShot = (parcel: Parcel, isOnceNow: boolean): void => {
    const { shotOn } = parcel;
    parcel.isOnce ||= isOnceNow;
    const record = shotOn === null ? undefined : this.bench.book.record(shotOn.replica);
    if (shotOn !== null && record !== undefined && (record.incarnation > shotOn.incarnation || record.state === 'gone'))
      shotOn.lost();
  };
}
