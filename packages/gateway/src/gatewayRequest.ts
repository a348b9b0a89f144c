import type { Rejection } from '@martenworks/core-types';
import type { CompletionPath, Piece } from '@martenworks/upstream';
import type { Claim } from './claims/claims.js';
import type { LaneView, TenantView } from './state/gatewayConfigView.js';

export interface Order {
  readonly requestId: string;
  readonly key: string | null;
  readonly path: CompletionPath;
  readonly body: Record<string, unknown>;
  readonly deadlineMs: number | null;
  readonly idempotencyKey: string | null;
  readonly signal: AbortSignal;
}

export interface StreamResponse {
  readonly kind: 'stream';
  readonly requestId: string;
  readonly pieces: AsyncGenerator<Piece>;
}

export type GatewayResponse = Rejection | StreamResponse;

export interface ActiveAttempt {
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
  of: (request: GatewayRequest): string | null => (request.tenant === null ? null : scopes.ofTenant(request.tenant)),
};

export class GatewayRequest {
  keyHash = '';
  laneName = '';
  promptTokens = 0;
  blocks: readonly string[] = [];
  tenant: TenantView | null = null;
  lane: LaneView | null = null;
  deadlineAt = Number.POSITIVE_INFINITY;
  attempts = 0;
  retries = 0;
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
  private attempt: ActiveAttempt | null = null;
  private readonly enders: (() => void)[] = [];

  constructor(
    readonly order: Order,
    readonly arrivedAt: number,
    private readonly respond: (response: GatewayResponse) => void,
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

  get activeAttempt(): ActiveAttempt | null {
    return this.attempt;
  }

  readonly whenEnded = (listener: () => void): void => void this.enders.push(listener);

  readonly waits = (): void => this.goes('waiting');

  readonly leaves = (attempt: ActiveAttempt): void => {
    this.goes('out');
    this.attempt = attempt;
  };

  readonly comesBack = (): void => {
    if (this.step === 'out') this.goes('entered');
    this.attempt = null;
  };

  readonly relays = (pieces: AsyncGenerator<Piece>): void => {
    this.goes('relaying');
    this.respond({ kind: 'stream', requestId: this.order.requestId, pieces });
  };

  readonly denies = (rejection: Rejection): void => {
    if (this.isAnswered) return;
    this.respond(rejection);
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
