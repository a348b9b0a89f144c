import { background, digests, prompts } from '@martenworks/core-types';
import { backWire } from '@martenworks/upstream';
import type { Piece } from '@martenworks/upstream';
import type { Bench } from './bench.js';
import { RateShare } from './budget.js';
import type { ShelfState } from './claims.js';
import type { Denying } from './denying.js';
import type { Parcel } from './parcel.js';

const longestHorizonMs = 600_000;

export class Match {
  private readonly rates = new Map<number, RateShare>();

  constructor(
    private readonly bench: Bench,
    private readonly denying: Denying,
    private readonly next: (parcel: Parcel) => void,
    private readonly replay: (parcel: Parcel, datas: readonly string[]) => AsyncGenerator<Piece>,
  ) {}

  readonly work = (parcel: Parcel): void => {
    if (parcel.isEnded) return;
    const view = this.bench.book.view();
    const { tenant } = parcel;
    if (view === null || tenant === null) {
      this.denying.refuse(parcel, 'not_fresh', 'no layout is held');
      return;
    }
    const laneName = parcel.order.body.model;
    if (typeof laneName !== 'string') {
      this.denying.refuse(parcel, 'bad_request', 'model must name a lane');
      return;
    }
    const lane = view.lanes.get(laneName);
    if (lane === undefined) {
      this.denying.refuse(parcel, 'unknown_lane', 'no such lane');
      return;
    }
    if (!tenant.lanes.has(lane.index)) {
      this.denying.refuse(parcel, 'lane_not_granted', "the key's holder may not use this lane");
      return;
    }
    const prompt = backWire.promptOf(parcel.order.path, parcel.order.body);
    if (prompt === null) {
      this.denying.refuse(parcel, 'bad_request', 'the prompt must be text');
      return;
    }
    if (!this.isWithinRate(parcel)) {
      this.denying.refuse(parcel, 'over_share', 'the tenant is over its rate');
      return;
    }
    parcel.lane = lane;
    parcel.laneName = laneName;
    parcel.isOnce = lane.repeat === 'once';
    parcel.promptTokens = prompts.tokens(prompt);
    parcel.blocks = prompts.blocks(prompt);
    const horizonMs = Math.min(longestHorizonMs, parcel.order.horizonMs ?? tenant.tier.horizonMs);
    parcel.horizonAt = parcel.arrivedAt + horizonMs;
    const clockEvent = this.bench.ports.clock.after(
      Math.max(0, parcel.horizonAt - this.bench.ports.clock.now()),
      () => {
        if (!parcel.isAnswered)
          this.denying.refuse(parcel, 'horizon_passed', 'the horizon passed before a first piece came');
      },
    );
    parcel.whenEnded(clockEvent.cancel);
    if (parcel.order.idempotencyKey === null) this.next(parcel);
    else background.run('claim and queue a request', this.claimThenQueue(parcel, parcel.order.idempotencyKey));
  };

  private readonly claimThenQueue = async (parcel: Parcel, idempotencyKey: string): Promise<void> => {
    const { order, tenant } = parcel;
    const key = digests.of([tenant?.name, idempotencyKey]);
    const outcome = await this.bench.claims.take(
      key,
      digests.of([order.path, { ...order.body, stream: null }]),
      order.requestId,
    );
    this.bench.tally.add(`claims_${outcome.k.replace(' ', '_')}`);
    if (outcome.k === 'claimed') {
      parcel.claim = outcome.claim;
      const note = (): void => this.bench.claims.ended(outcome.claim, this.shelfStateOf(parcel));
      if (parcel.isEnded) return note();
      parcel.whenEnded(note);
      return this.next(parcel);
    }
    if (parcel.isEnded) return;
    switch (outcome.k) {
      case 'replay':
        parcel.mayHaveRun = true;
        return parcel.relays(this.replay(parcel, outcome.datas));
      case 'running':
        parcel.mayHaveRun = true;
        return this.denying.refuse(parcel, 'in_progress', 'this Idempotency-Key is being run');
      case 'unknown':
        parcel.mayHaveRun = true;
        return this.denying.refuse(
          parcel,
          'outcome_unknown',
          'this Idempotency-Key was claimed, and what came of it is not known',
        );
      case 'reused':
        return this.denying.refuse(parcel, 'key_reused', 'this Idempotency-Key was used for another request');
      case 'no majority':
        return this.denying.refuse(parcel, 'no_claim', 'no majority of postmasters took the claim');
    }
  };

  private readonly shelfStateOf = (parcel: Parcel): ShelfState => {
    if (parcel.isWhole) return { k: 'done', datas: parcel.keptDatas };
    return parcel.mayHaveRun ? { k: 'unknown' } : { k: 'not run' };
  };

  private readonly isWithinRate = (parcel: Parcel): boolean => {
    const { tenant } = parcel;
    if (tenant === null || tenant.tenant.ratePerSecond === null) return true;
    const perSecond = tenant.tenant.ratePerSecond / this.bench.env.fronts;
    const held = this.rates.get(tenant.index);
    const rate =
      held !== undefined && held.perSecond === perSecond
        ? held
        : new RateShare(perSecond, this.bench.ports.clock.now());
    this.rates.set(tenant.index, rate);
    return rate.take(this.bench.ports.clock.now());
  };
}
