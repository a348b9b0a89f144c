/** Validates the messages that control nodes send to an edge; malformed ones are ignored. */
import type {
  CacheMissReport,
  EdgePong,
  EdgeStateMessage,
  EndpointListUpdate,
  Member,
  PackedRoutingTable,
  PrefillNotice,
  PrefixCacheEvent,
  PrefixCacheUpdate,
  ReplicaEndpoint,
  WeightsUpdate,
} from '@martenworks/core-types';
import type { MemberEntry } from '@martenworks/cluster-membership';

type Shape = Record<string, unknown>;
type Check<T> = (value: unknown) => value is T;

const isShape = (value: unknown): value is Shape => typeof value === 'object' && value !== null;
const isText = (value: unknown): value is string => typeof value === 'string';
const isNumber = (value: unknown): value is number => typeof value === 'number';
const isBoolean = (value: unknown): value is boolean => typeof value === 'boolean';

const isListOf =
  <T>(check: Check<T>): Check<T[]> =>
  (value): value is T[] =>
    Array.isArray(value) && value.every(check);

const isRecordOf =
  <T>(check: Check<T>): Check<Record<string, T>> =>
  (value): value is Record<string, T> =>
    isShape(value) && Object.values(value).every(check);

const isNullOr =
  <T>(check: Check<T>): Check<T | null> =>
  (value): value is T | null =>
    value === null || check(value);

const isTexts = isListOf(isText);
const isNullableText = isNullOr(isText);
const isNullableNumber = isNullOr(isNumber);
const isVersions = isRecordOf(isNumber);

const isMember = (value: unknown): value is Member =>
  isShape(value) && isText(value.name) && isText(value.address) && isText(value.incarnation);

const isMembers = isListOf(isMember);

const isPackedTable = (value: unknown): value is PackedRoutingTable =>
  isShape(value) && isNullableNumber(value.from) && value.deflated instanceof Uint8Array;

const isWeightsAge = (value: unknown): value is EdgeStateMessage['weightsAges'][string][number] =>
  isShape(value) && isNumber(value.version) && isNumber(value.msAgo);

const isWeightsAges = isRecordOf(isListOf(isWeightsAge));

const isState = (value: unknown): value is EdgeStateMessage =>
  isShape(value) &&
  isNumber(value.logIndex) &&
  isNumber(value.configVersion) &&
  isNullOr(isPackedTable)(value.packedTable) &&
  isVersions(value.targetWeights) &&
  isWeightsAges(value.weightsAges) &&
  isMembers(value.members);

const isWeights = (value: unknown): value is WeightsUpdate =>
  isShape(value) && isText(value.id) && isText(value.model) && isNullableNumber(value.version) && isNumber(value.forMs);

const isPrefillNotice = (value: unknown): value is PrefillNotice =>
  isShape(value) &&
  isText(value.id) &&
  isText(value.replica) &&
  isNumber(value.tokens) &&
  isNullableText(value.salt) &&
  isNullableText(value.part);

const isCacheMiss = (value: unknown): value is CacheMissReport =>
  isShape(value) &&
  isText(value.address) &&
  isText(value.salt) &&
  isTexts(value.parts) &&
  isBoolean(value.isDecided) &&
  isNullableNumber(value.quarantineMs);

const isEndpoint = (value: unknown): value is ReplicaEndpoint =>
  isShape(value) &&
  isText(value.id) &&
  isText(value.pool) &&
  isText(value.address) &&
  isText(value.zone) &&
  isNumber(value.slots) &&
  isBoolean(value.isLeaving) &&
  isVersions(value.weights);

const isEndpoints = isListOf(isEndpoint);

const isEndpointList = (value: unknown): value is EndpointListUpdate =>
  isShape(value) && isBoolean(value.isWhole) && isEndpoints(value.put) && isTexts(value.gone);

const isPrefixCacheEvent = (value: unknown): value is PrefixCacheEvent =>
  isShape(value) && isBoolean(value.isKept) && isText(value.salt) && isText(value.part) && isNumber(value.tokens);

const isPrefixCacheEvents = isListOf(isPrefixCacheEvent);

const isPrefixCacheUpdate = (value: unknown): value is PrefixCacheUpdate =>
  isShape(value) &&
  isText(value.address) &&
  isBoolean(value.isWhole) &&
  isBoolean(value.isHeard) &&
  (value.epoch === undefined || isText(value.epoch)) &&
  isPrefixCacheEvents(value.events);

const isPong = (value: unknown): value is EdgePong =>
  isShape(value) &&
  isNumber(value.logIndex) &&
  isNumber(value.edgeCount) &&
  isBoolean(value.hasMajority) &&
  isNullableNumber(value.majorityHeardMs) &&
  isNullableNumber(value.listAgeMs);

const isMemberEntry = (value: unknown): value is MemberEntry =>
  isShape(value) &&
  isNumber(value.ageMs) &&
  isShape(value.hello) &&
  isText(value.hello.name) &&
  isText(value.hello.role) &&
  isText(value.hello.address) &&
  isText(value.hello.incarnation);

/** Type guards: true if a value received from another node has the shape of that message. */
export const edgeMessages = {
  isState,
  isLogIndex: isNumber,
  isWeights,
  isPrefillNotices: isListOf(isPrefillNotice),
  isCacheMiss,
  isEndpointList,
  isPrefixCacheUpdates: isListOf(isPrefixCacheUpdate),
  isPong,
  isMemberEntries: isListOf(isMemberEntry),
};
