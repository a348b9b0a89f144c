import { keys } from '@martenworks/core-types';
import type { Bench } from './bench.js';
import type { Denying } from './denying.js';
import type { Parcel } from './parcel.js';
import { standings } from './standing.js';

export class Admit {
  isDraining = false;

  constructor(
    private readonly bench: Bench,
    private readonly denying: Denying,
    private readonly next: (parcel: Parcel) => void,
  ) {}

  readonly work = (parcel: Parcel): void => {
    if (parcel.isEnded) return;
    if (this.isDraining) {
      this.denying.refuse(parcel, 'draining', 'this counter is closing');
      return;
    }
    const view = this.bench.book.view();
    if (view === null || !this.bench.freshness.isFresh()) {
      this.denying.refuse(parcel, 'not_fresh', 'this counter has not heard a majority of postmasters lately');
      return;
    }
    if (parcel.order.key === null) {
      this.denying.refuse(parcel, 'unknown_key', 'no bearer key was given');
      return;
    }
    parcel.keyHash = keys.hash(parcel.order.key);
    const tenant = standings.holderOf(view, parcel.keyHash);
    if (tenant === undefined) {
      this.denying.refuse(parcel, 'unknown_key', 'the key is not granted');
      return;
    }
    parcel.tenant = tenant;
    this.next(parcel);
  };
}
