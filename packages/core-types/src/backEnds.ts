import type { Result } from 'neverthrow';
import type { KeptNews, Part, ReplicaCard, WayBook } from './ways.js';

export interface BackFault {
  readonly kind: 'back';
  readonly code: string;
}

interface WeightsOrder {
  readonly model: string;
  readonly version: number;
  readonly holder: string;
  readonly fence: number;
}

/** `taken`: under way; `holds`: already so; `busy`: another is under way; `outranked`: a higher fence was seen; `refused`: never will; `elsewhere`: another replica has the address; `unknown`: it may have been taken. */
export type OrderReceipt = 'taken' | 'holds' | 'busy' | 'outranked' | 'refused' | 'elsewhere' | 'unknown';

interface ReplicaReport {
  readonly weights: Record<string, number>;
  readonly isBusy: boolean;
}

export interface KeptPage {
  readonly epoch: string;
  readonly next: number;
  readonly isLost: boolean;
  readonly news: readonly KeptNews[];
}

interface KeptList {
  readonly epoch: string;
  readonly next: number;
  readonly held: readonly KeptNews[];
}

/** What the core asks of the world behind the fleet. Times are in milliseconds; each call ends within its patience. */
export interface BackEnds {
  readonly replicas: () => Promise<Result<readonly ReplicaCard[], BackFault>>;
  readonly order: (card: ReplicaCard, order: WeightsOrder) => Promise<OrderReceipt>;
  readonly report: (card: ReplicaCard) => Promise<Result<ReplicaReport, BackFault>>;
  readonly keptNews: (address: string, since: number, waitMs: number) => Promise<Result<KeptPage, BackFault>>;
  readonly keptList: (address: string) => Promise<Result<KeptList, BackFault>>;
}

/** A caller's order as the data plane understands it; its headers and body stay opaque beside it. */
export interface CallerOrder {
  readonly id: string;
  readonly key: string | null;
  readonly leftMs: number | null;
  readonly model: string | null;
  readonly tokensIn: number;
  readonly tokensOut: number;
  readonly parts: readonly Part[];
}

export interface ShotPlan {
  readonly replica: string;
  readonly leftMs: number;
  readonly tenant: string | null;
  readonly urgency: number;
  readonly salt: string | null;
  readonly version: number | null;
  readonly holder: string | null;
  readonly store: string | null;
  readonly resumeAfter: string | null;
}

/** `isOwn`: it bears the request's own id; an answer that bears none, a refusal too, may belong to an earlier request. */
export interface ReceiptHead {
  readonly isOwn: boolean;
  readonly isNotRun: boolean;
  readonly isSealed: boolean;
  readonly isElsewhere: boolean;
  readonly retryAfterMs: number | null;
  readonly versions: Record<string, number>;
}

/** How callers' and replicas' headers are read and written. Header lists alternate names and values, as they came. */
export interface ThroughWire {
  readonly order: (headers: readonly string[]) => Result<CallerOrder, string>;
  readonly shotHeaders: (headers: readonly string[], shot: ShotPlan) => string[];
  readonly receiptHead: (
    status: number,
    headers: readonly string[],
    orderId: string,
    model: string | null,
  ) => ReceiptHead;
  readonly denialBody: (message: string) => string;
}

export interface OperatorEdit {
  readonly edition: number;
  readonly book: WayBook;
  readonly source: string;
}
