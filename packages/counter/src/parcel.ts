import type { Deny } from '@martenworks/core-types';
import type { CompletionPath, Piece } from '@martenworks/upstream';
import type { Claim } from './claims.js';
import type { LaneView, TenantView } from './layoutView.js';

export interface Order {
  readonly requestId: string;
  readonly key: string | null;
  readonly path: CompletionPath;
  readonly body: Record<string, unknown>;
  readonly horizonMs: number | null;
  readonly idempotencyKey: string | null;
  readonly signal: AbortSignal;
}

export interface StreamReceipt {
  readonly kind: 'stream';
  readonly requestId: string;
  readonly pieces: AsyncGenerator<Piece>;
}

export type Receipt = Deny | StreamReceipt;

export interface ShotOn {
  readonly replica: string;
  readonly incarnation: number;
  readonly lost: () => void;
}

type Step = 'entered' | 'waiting' | 'out' | 'relaying' | 'ended';

const followers: Record<Step, readonly Step[]> = {
  entered: ['waiting', 'relaying', 'ended'],
  waiting: ['waiting', 'out', 'ended'],
  out: ['entered', 'relaying', 'ended'],
  relaying: ['ended'],
  ended: [],
};

export const scopes = {
  ofTenant: (tenant: TenantView): string | null => (tenant.tenant.isolated ? tenant.name : null),
  of: (parcel: Parcel): string | null => (parcel.tenant === null ? null : scopes.ofTenant(parcel.tenant)),
};

export class Parcel {
  keyHash = '';
  laneName = '';
  promptTokens = 0;
  blocks: readonly string[] = [];
  tenant: TenantView | null = null;
  lane: LaneView | null = null;
  horizonAt = Number.POSITIVE_INFINITY;
  shots = 0;
  extraShots = 0;
  isOnce = false;
  comeBackSeconds: number | null = null;
  mayHaveRun = false;
  isWhole = false;
  claim: Claim | null = null;
  keptDatas: string[] = [];
  cutCause: string | null = null;
  readonly avoided = new Set<string>();
  readonly quit = new AbortController();
  private step: Step = 'entered';
  private shot: ShotOn | null = null;
  private readonly enders: (() => void)[] = [];

  constructor(
    readonly order: Order,
    readonly arrivedAt: number,
    private readonly settle: (receipt: Receipt) => void,
  ) {}

  private readonly goes = (next: Step): void => {
    if (!followers[this.step].includes(next)) throw new Error(`a parcel went from ${this.step} to ${next}`);
    this.step = next;
  };

  get isEnded(): boolean {
    return this.step === 'ended';
  }

  get isRelaying(): boolean {
    return this.step === 'relaying';
  }

  get isAnswered(): boolean {
    return this.isEnded || this.isRelaying;
  }

  get shotOn(): ShotOn | null {
    return this.shot;
  }

  readonly whenEnded = (verb: () => void): void => void this.enders.push(verb);

  readonly waits = (): void => this.goes('waiting');

  readonly leaves = (shot: ShotOn): void => {
    this.goes('out');
    this.shot = shot;
  };

  readonly comesBack = (): void => {
    if (this.step === 'out') this.goes('entered');
    this.shot = null;
  };

  readonly relays = (pieces: AsyncGenerator<Piece>): void => {
    this.goes('relaying');
    this.settle({ kind: 'stream', requestId: this.order.requestId, pieces });
  };

  readonly denies = (denied: Deny): void => {
    if (this.isAnswered) return;
    this.settle(denied);
    this.end();
  };

  readonly end = (): void => {
    if (this.isEnded) return;
    this.goes('ended');
    this.quit.abort();
    for (const verb of this.enders) verb();
  };

  readonly cut = (cause: string): void => {
    this.cutCause ??= cause;
    this.quit.abort();
  };
}
