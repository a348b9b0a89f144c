/** Checks for messages that edges send to a control node, and that control nodes relay to each other for edges. */
import type {
  CacheMissReport,
  EdgePing,
  PrefillNotice,
  PrefixCacheEvent,
  PrefixCacheUpdate,
  StatePosition,
  Subscription,
  WeightsAge,
  WeightsAgesMessage,
} from '@martenworks/core-types';
import { messageChecks } from './messageChecks.js';

const { isObject, isText, isNumber, isBoolean, isListOf, isNullOr, isRecordOf, isTexts } = messageChecks;

const isStatePosition = (value: unknown): value is StatePosition =>
  isObject(value) && isNumber(value.logIndex) && isNumber(value.configVersion);

const isSubscription = (value: unknown): value is Subscription =>
  isObject(value) && isStatePosition(value) && isBoolean(value.wantsContent);

const isEdgePing = (value: unknown): value is EdgePing =>
  isObject(value) && isStatePosition(value) && isBoolean(value.isReady);

const isPrefixCacheEvent = (value: unknown): value is PrefixCacheEvent =>
  isObject(value) && isBoolean(value.isKept) && isText(value.salt) && isText(value.part) && isNumber(value.tokens);

const isPrefixCacheUpdate = (value: unknown): value is PrefixCacheUpdate =>
  isObject(value) &&
  isText(value.address) &&
  isBoolean(value.isWhole) &&
  isBoolean(value.isHeard) &&
  (value.epoch === undefined || isText(value.epoch)) &&
  isListOf(isPrefixCacheEvent)(value.events);

const isPrefillNotice = (value: unknown): value is PrefillNotice =>
  isObject(value) &&
  isText(value.id) &&
  isText(value.replica) &&
  isNumber(value.tokens) &&
  isNullOr(isText)(value.salt) &&
  isNullOr(isText)(value.part);

const isCacheMissReport = (value: unknown): value is CacheMissReport =>
  isObject(value) &&
  isText(value.address) &&
  isText(value.salt) &&
  isTexts(value.parts) &&
  isBoolean(value.isDecided) &&
  isNullOr(isNumber)(value.quarantineMs);

const isWeightsAge = (value: unknown): value is WeightsAge =>
  isObject(value) && isNumber(value.version) && isNumber(value.msAgo);

const isWeightsAges = (value: unknown): value is WeightsAgesMessage =>
  isObject(value) && isRecordOf(isListOf(isWeightsAge))(value.weightsAges);

/** Type guards for message bodies. Control nodes ignore malformed messages, like those with unknown topics. */
export const edgeMessages = {
  isStatePosition,
  isSubscription,
  isEdgePing,
  isPrefixCacheUpdates: isListOf(isPrefixCacheUpdate),
  isPrefillNotice,
  isPrefillNotices: isListOf(isPrefillNotice),
  isCacheMissReport,
  isWeightsAges,
};
