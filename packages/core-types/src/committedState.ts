/** The replicated state that the control nodes agree on, and the changes that the log carries to it. */
import type { GatewayConfig, Tenant } from './gatewayConfig.js';
import type { ActiveRouting } from './routing.js';

/** What an API key grants: requests in the name of one tenant. */
export interface KeyGrant {
  readonly tenant: string;
}

/**
 * A voter of the control cluster. `incarnation` identifies the node's data folder: a node with a new disk is a new
 * member.
 */
export interface Member {
  readonly name: string;
  readonly address: string;
  readonly incarnation: string;
}

/** The record of an applied change, with which the same change is recognized when it is sent again. */
export interface ChangeRecord {
  readonly logIndex: number;
  readonly digest: string;
  /**
   * The configuration version that the change activated; absent for other kinds of change, and in states written by
   * older releases.
   */
  readonly configVersion?: number;
}

/**
 * The newest changes whose records were pruned. For changes up to these it is unknown whether they were applied.
 */
export interface PrunedChanges {
  /** Configuration version of the newest pruned routing change; 0 where none was pruned. */
  readonly configVersion: number;
  /** Weights version of the newest pruned weights change, by model. */
  readonly targetWeights: Record<string, number>;
}

/**
 * The state after `logIndex` changes. `configLogIndex` is the index of the change that set the configuration.
 * `weightsSince` and `storeSince` give the index from which on a pool's weights and a store's contents are valid.
 * `keys` are by key hash, `changeIds` by change id, `targetWeights` by model.
 */
export interface CommittedState {
  readonly logIndex: number;
  readonly configLogIndex: number;
  readonly config: GatewayConfig;
  readonly weightsSince: Record<string, number>;
  readonly storeSince: Record<string, number>;
  readonly keys: Record<string, KeyGrant>;
  readonly members: readonly Member[];
  readonly changeIds: Record<string, ChangeRecord>;
  readonly forgotten: PrunedChanges;
  readonly routing: ActiveRouting | null;
  readonly targetWeights: Record<string, number>;
}

/**
 * The contents of a change. `base` is the configuration that it builds on; the change has no effect where another one
 * is active.
 */
export type ChangeBody =
  | { readonly kind: 'config'; readonly config: GatewayConfig; readonly base: number }
  | { readonly kind: 'grant'; readonly keyHash: string; readonly grant: KeyGrant; readonly tenant: Tenant | null }
  | { readonly kind: 'revoke'; readonly keyHash: string }
  | { readonly kind: 'swap'; readonly outgoing: string; readonly incoming: Member }
  | { readonly kind: 'routing'; readonly base: number; readonly routing: ActiveRouting }
  | { readonly kind: 'weights'; readonly model: string; readonly version: number };

/**
 * A change as an entry of the replicated log. `id` is chosen by the sender and `digest` covers the contents, so that a
 * change that is sent twice is applied once.
 */
export interface Change {
  readonly id: string;
  readonly digest: string;
  readonly body: ChangeBody;
}
