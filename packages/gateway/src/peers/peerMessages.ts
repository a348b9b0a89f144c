/**
 * Validates the messages that other nodes send to a gateway. Each reader returns the typed message, or null if the body
 * lacks fields that the gateway uses; such a malformed message is ignored.
 */
import type {
  Change,
  ClaimVote,
  CommittedState,
  IsolationStatus,
  KvCacheEvent,
  Loads,
  Pong,
  ReplicaRecord,
} from '@martenworks/core-types';
import type { MemberEntry } from '@martenworks/cluster-membership';
import type { PrefixIndexSnapshot } from '@martenworks/prefix-index';
import type { StoredResponseState } from '../claims/responseStore.js';

/** A committed change and its log index. */
export interface ChangeMessage {
  readonly logIndex: number;
  readonly change: Change;
}

type Fields = Readonly<Record<string, unknown>>;

const isObject = (value: unknown): value is Fields =>
  value !== null && typeof value === 'object' && !Array.isArray(value);

const isText = (value: unknown): value is string => typeof value === 'string';

const isNumber = (value: unknown): value is number => typeof value === 'number';

const isListOf = (value: unknown, isItem: (item: unknown) => boolean): boolean =>
  Array.isArray(value) && value.every(isItem);

const isPair = (value: unknown): boolean => Array.isArray(value) && isNumber(value[0]) && isNumber(value[1]);

const isTableOfPairs = (value: unknown): boolean => isObject(value) && Object.values(value).every(isPair);

const isChangeMessage = (body: unknown): boolean =>
  isObject(body) &&
  isNumber(body.logIndex) &&
  isObject(body.change) &&
  isText(body.change.id) &&
  isObject(body.change.body) &&
  isText(body.change.body.kind);

const isCommittedState = (body: unknown): boolean =>
  isObject(body) &&
  isNumber(body.logIndex) &&
  isObject(body.config) &&
  [body.config.tiers, body.config.pools, body.config.lanes, body.config.tenants].every(isObject) &&
  isObject(body.keys) &&
  isListOf(body.members, (member) => isObject(member) && isText(member.incarnation) && isText(member.address));

const isReplicaRecord = (record: unknown): boolean =>
  isObject(record) &&
  [record.name, record.kind, record.state, record.pool, record.address].every(isText) &&
  [record.incarnation, record.born].every(isNumber);

const isIndexSnapshot = (body: unknown): boolean =>
  isObject(body) &&
  isText(body.replica) &&
  [body.incarnation, body.seq].every(isNumber) &&
  isListOf(body.scopes, isText) &&
  Array.isArray(body.blocks);

const isKvEvent = (event: unknown): boolean =>
  isObject(event) &&
  [event.replica, event.kind].every(isText) &&
  [event.incarnation, event.seq].every(isNumber) &&
  isListOf(event.blocks, isText);

const isPong = (body: unknown): boolean =>
  isObject(body) &&
  isText(body.incarnation) &&
  isNumber(body.logIndex) &&
  (body.acceptedSlot === null || isNumber(body.acceptedSlot)) &&
  isTableOfPairs(body.loads) &&
  isTableOfPairs(body.contention);

const isMemberEntry = (entry: unknown): boolean =>
  isObject(entry) && isObject(entry.hello) && isText(entry.hello.incarnation) && isNumber(entry.ageMs);

const isIsolationStatus = (status: unknown): boolean =>
  isObject(status) && isText(status.replica) && isNumber(status.ageMs) && isListOf(status.sides, isText);

const isClaimVote = (body: unknown): boolean =>
  isObject(body) &&
  (body.kind === 'mute' ||
    (body.kind === 'state' &&
      typeof body.isGranted === 'boolean' &&
      isObject(body.state) &&
      isNumber(body.state.turn) &&
      (body.state.promised === null || Array.isArray(body.state.promised)) &&
      (body.state.accepted === null || isObject(body.state.accepted))));

const isStoredResponseState = (body: unknown): boolean =>
  isObject(body) &&
  (body.kind === 'running' ||
    body.kind === 'unknown' ||
    body.kind === 'not run' ||
    (body.kind === 'done' && isListOf(body.datas, isText)));

const reader =
  <T>(isValid: (body: unknown) => boolean) =>
  (body: unknown): T | null =>
    isValid(body) ? (body as T) : null;

/** One reader for each topic that a gateway receives, and for each reply to a call that it makes. */
export const peerMessages = {
  /** Topic `heartbeat`: the sender's incarnation. */
  heartbeat: reader<string>(isText),

  /** Topic `change`. */
  change: reader<ChangeMessage>(isChangeMessage),

  /** Topic `checkpoint`: the complete committed state. */
  committedState: reader<CommittedState>(isCommittedState),

  /** Topic `replicas`. */
  replicas: reader<ReplicaRecord[]>((body) => isListOf(body, isReplicaRecord)),

  /** Topic `loads`. */
  loads: reader<Loads>(isTableOfPairs),

  /** Topic `indexSnapshot`. */
  indexSnapshot: reader<PrefixIndexSnapshot>(isIndexSnapshot),

  /** Topic `kv`. */
  kvEvents: reader<KvCacheEvent[]>((body) => isListOf(body, isKvEvent)),

  /** The reply to `ping`. */
  pong: reader<Pong>(isPong),

  /** Topic `claimState`: the claimant's id. */
  claimantId: reader<string>(isText),

  /** Topic `memberList`. */
  memberList: reader<MemberEntry[]>((body) => isListOf(body, isMemberEntry)),

  /** The reply to `admitSides`. */
  isolationStatuses: reader<IsolationStatus[]>((body) => isListOf(body, isIsolationStatus)),

  /** The reply to `claimPrepare`, `claimAccept` and `claimRelease`. */
  claimVote: reader<ClaimVote>(isClaimVote),

  /** The reply to `claimState`. */
  storedResponseState: reader<StoredResponseState>(isStoredResponseState),
};
