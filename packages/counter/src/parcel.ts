import type { Deny } from '@martenworks/envelope';
import type { CompletionPath, Piece } from '@martenworks/courier';
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
  isAnswered = false;
  isRelaying = false;
  isWhole = false;
  shotOn: ShotOn | null = null;
  claim: Claim | null = null;
  keptDatas: string[] = [];
  cutCause: string | null = null;
  endReported = false;
  readonly avoided = new Set<string>();
  readonly quit = new AbortController();
  private readonly enders: (() => void)[] = [];

  constructor(
    readonly order: Order,
    readonly arrivedAt: number,
    private readonly settle: (receipt: Receipt) => void,
  ) {}

  readonly whenEnded = (verb: () => void): void => void this.enders.push(verb);

  readonly answer = (receipt: Receipt): void => {
    if (this.isAnswered) return;
    this.isAnswered = true;
    this.settle(receipt);
    if (receipt.kind === 'deny') this.end();
  };

  readonly end = (): void => {
    if (this.endReported) return;
    this.endReported = true;
    this.quit.abort();
    for (const verb of this.enders) verb();
  };

  readonly cut = (cause: string): void => {
    this.cutCause ??= cause;
    this.quit.abort();
  };
}
