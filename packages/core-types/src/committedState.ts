/** The replicated state that the control nodes agree on, and the changes that the log carries to it. */
import type { GatewayConfig, Tenant } from './gatewayConfig.js';
import type { ActiveRouting } from './routing.js';

/** What an API key admits to: the requests of one tenant. */
export interface KeyGrant {
  readonly tenant: string;
}

/**
 * A seat among the voters. `incarnation` is that of the node's data folder: a node with a new disk is another
 * member.
 */
export interface Member {
  readonly name: string;
  readonly address: string;
  readonly incarnation: string;
}

/** What is kept of a change that was agreed on: by it, the same change sent again is known. */
export interface ChangeRecord {
  readonly logIndex: number;
  readonly digest: string;
  /**
   * The configuration version it brought into force; absent for other kinds of change, and in states of older releases.
   */
  readonly configVersion?: number;
}

/** The newest changes whose records were dropped: of none up to these can it be told whether it was taken. */
export interface PrunedChanges {
  /** Configuration version of the routing table; 0 where none was dropped. */
  readonly configVersion: number;
  /** Version of its weights, by model. */
  readonly targetWeights: Record<string, number>;
}

/**
 * The state after `logIndex` changes. `configLogIndex` is the index of the change that brought the configuration,
 * `weightsSince` and `storeSince` the index since which a pool's weights and a store's contents may be relied on;
 * `keys` are by hash, `changeIds` by the id of the change, `targetWeights` by model.
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
 * What a change asks for. `base` names the configuration it builds on; where another is in force, it takes no
 * effect.
 */
export type ChangeBody =
  | { readonly kind: 'config'; readonly config: GatewayConfig; readonly base: number }
  | { readonly kind: 'grant'; readonly keyHash: string; readonly grant: KeyGrant; readonly tenant: Tenant | null }
  | { readonly kind: 'revoke'; readonly keyHash: string }
  | { readonly kind: 'swap'; readonly outgoing: string; readonly incoming: Member }
  | { readonly kind: 'routing'; readonly base: number; readonly routing: ActiveRouting }
  | { readonly kind: 'weights'; readonly model: string; readonly version: number };

/**
 * A change as the log carries it. `id` is chosen by who sends it and `digest` is of its contents, so that one sent
 * twice is taken once.
 */
export interface Change {
  readonly id: string;
  readonly digest: string;
  readonly body: ChangeBody;
}
