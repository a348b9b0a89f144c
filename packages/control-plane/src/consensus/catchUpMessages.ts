/** Messages of the catch-up protocol: topics, bodies and their validation. */
import { messageChecks } from '../messages/messageChecks.js';

/** Maximum bytes of a transfer in one reply. */
export const pageBytes = 64 * 1024;

/** Topics of the catch-up requests. */
export const catchUpTopics = {
  /** Body null; the reply is the committed log index, -1 for none. */
  logIndex: 'stateHeld',
  /** Body `PageRequest`; the reply is `Page`, or null if the requester lacks nothing. */
  page: 'statePage',
  /** Body null: the receiver is behind. It catches up from the sender, then replies with its log index. */
  behind: 'stateBehind',
} as const;

/** A request for one page of a transfer. */
export interface PageRequest {
  /** The log index that the requester has committed, -1 for none. */
  readonly logIndex: number;
  /** The transfer to continue, identified by the SHA-256 of its bytes in hex; null to start one. */
  readonly digest: string | null;
  /** Bytes of that transfer received so far. */
  readonly offset: number;
}

/**
 * One page of a transfer: `bytes` at `offset`, of `size` bytes in total; `digest` is the SHA-256 of the transfer in
 * hex.
 */
export interface Page {
  readonly kind: 'changes' | 'snapshot';
  readonly digest: string;
  readonly size: number;
  readonly offset: number;
  readonly bytes: Uint8Array;
}

const { isObject, isText, isInteger, isBytes, isNullOr } = messageChecks;

const isPageRequest = (value: unknown): value is PageRequest =>
  isObject(value) &&
  isInteger(value.logIndex) &&
  isNullOr(isText)(value.digest) &&
  isInteger(value.offset) &&
  value.offset >= 0;

const isPage = (value: unknown): value is Page =>
  isObject(value) &&
  (value.kind === 'changes' || value.kind === 'snapshot') &&
  isText(value.digest) &&
  isInteger(value.size) &&
  isInteger(value.offset) &&
  isBytes(value.bytes);

/** Type guards for the message bodies. */
export const catchUpMessages = { isPageRequest, isPage };
