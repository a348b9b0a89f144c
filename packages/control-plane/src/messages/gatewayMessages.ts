/** Checks for messages that gateways and gateway control nodes send to a gateway control node. */
import type {
  Claimant,
  ClaimAccepted,
  ClaimBallot,
  ClaimPage,
  ClaimState,
  IsolationClaim,
  KvCacheEvent,
  LoadReport,
  ReplicaRecord,
} from '@martenworks/core-types';
import type { PrefixIndexSnapshot } from '@martenworks/prefix-index';
import type { MessageCheck } from './messageChecks.js';
import { messageChecks } from './messageChecks.js';
import type { RelayedKvEvents } from '../prefixcache/kvEventFollower.js';

/** The key and turn of a claim that a message refers to. */
interface ClaimTurn {
  readonly key: string;
  readonly turn: number;
}

interface ClaimPrepare extends ClaimTurn {
  readonly ballot: ClaimBallot;
}

interface ClaimAccept extends ClaimPrepare {
  readonly claimant: Claimant;
}

const { isObject, isText, isNumber, isBoolean, isListOf, isRecordOf, isNullOr, isTexts } = messageChecks;

const isNumberPair = (value: unknown): value is readonly [number, number] =>
  Array.isArray(value) && value.length === 2 && value.every(isNumber);

const isLoadReport = (value: unknown): value is LoadReport =>
  isObject(value) && isRecordOf(isNumberPair)(value.replicas) && isRecordOf(isNumberPair)(value.pools);

const eventKinds: ReadonlySet<unknown> = new Set<KvCacheEvent['kind']>(['hello', 'stored', 'removed', 'cleared']);

const isKvCacheEvent = (value: unknown): value is KvCacheEvent =>
  isObject(value) &&
  isText(value.replica) &&
  isNumber(value.incarnation) &&
  isNumber(value.seq) &&
  eventKinds.has(value.kind) &&
  (value.tenant === undefined || isNullOr(isText)(value.tenant)) &&
  isTexts(value.blocks);

const isRelayedKvEvents = (value: unknown): value is RelayedKvEvents =>
  isObject(value) && isRecordOf(isNumber)(value.fences) && isListOf(isKvCacheEvent)(value.events);

const isIsolationClaim = (value: unknown): value is IsolationClaim =>
  isObject(value) && isText(value.replica) && isNumber(value.incarnation) && isText(value.side);

const replicaKinds: ReadonlySet<unknown> = new Set<ReplicaRecord['kind']>(['replica', 'store']);
const replicaStates: ReadonlySet<unknown> = new Set<ReplicaRecord['state']>(['ready', 'leaving', 'gone']);

const isReplicaRecord = (value: unknown): value is ReplicaRecord =>
  isObject(value) &&
  isText(value.name) &&
  replicaKinds.has(value.kind) &&
  isNumber(value.incarnation) &&
  replicaStates.has(value.state) &&
  isText(value.pool) &&
  isText(value.address) &&
  isText(value.zone) &&
  isNullOr(isNumber)(value.slots) &&
  isNumber(value.born) &&
  isTexts(value.sides);

const isClaimBallot = (value: unknown): value is ClaimBallot =>
  Array.isArray(value) && value.length === 2 && isNumber(value[0]) && isText(value[1]);

const isClaimTurn = (value: unknown): value is ClaimTurn =>
  isObject(value) && isText(value.key) && isNumber(value.turn);

const isClaimPrepare = (value: unknown): value is ClaimPrepare =>
  isObject(value) && isClaimTurn(value) && isClaimBallot(value.ballot);

const isClaimant = (value: unknown): value is Claimant =>
  isObject(value) && isText(value.id) && isText(value.gateway) && isText(value.address) && isText(value.digest);

const isClaimAccept = (value: unknown): value is ClaimAccept =>
  isObject(value) && isClaimPrepare(value) && isClaimant(value.claimant);

const isClaimAccepted = (value: unknown): value is ClaimAccepted =>
  isObject(value) && isClaimBallot(value.ballot) && isClaimant(value.claimant);

const isClaimState = (value: unknown): value is ClaimState =>
  isObject(value) &&
  isNumber(value.turn) &&
  isNullOr(isClaimBallot)(value.promised) &&
  isNullOr(isClaimAccepted)(value.accepted);

const isClaimEntry = (value: unknown): value is readonly [key: string, state: ClaimState] =>
  Array.isArray(value) && value.length === 2 && isText(value[0]) && isClaimState(value[1]);

const isClaimPage: MessageCheck<ClaimPage> = (value): value is ClaimPage =>
  isObject(value) && isListOf(isClaimEntry)(value.entries) && isNullOr(isNumber)(value.next);

const isIndexBlock = (value: unknown): value is PrefixIndexSnapshot['blocks'][number] =>
  Array.isArray(value) && value.length === 3 && isText(value[0]) && isText(value[1]) && isNumber(value[2]);

const isPrefixIndexSnapshot = (value: unknown): value is PrefixIndexSnapshot =>
  isObject(value) &&
  isText(value.replica) &&
  isNumber(value.incarnation) &&
  isNumber(value.seq) &&
  isBoolean(value.isWhole) &&
  isTexts(value.scopes) &&
  isListOf(isIndexBlock)(value.blocks);

/** Type guards for message bodies. Control nodes ignore malformed messages, like those with unknown topics. */
export const gatewayMessages = {
  isLoadReport,
  isRelayedKvEvents,
  isIsolationClaims: isListOf(isIsolationClaim),
  isReplicaRecords: isListOf(isReplicaRecord),
  isClaimTurn,
  isClaimPrepare,
  isClaimAccept,
  isClaimPage,
  isPrefixIndexSnapshots: isListOf(isPrefixIndexSnapshot),
};
