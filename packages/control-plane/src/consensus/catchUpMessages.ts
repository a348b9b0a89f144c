/** The messages by which a member catches up: topics, bodies and their checks. */
import { messageChecks } from '../messages/messageChecks.js';

/** Bytes of a transfer in one reply. */
export const pageBytes = 64 * 1024;

/** What a node asks of another to catch up. */
export const catchUpTopics = {
  /** Body null; the reply is the log index committed, or null where nothing is. */
  logIndex: 'stateHeld',
  /** Body `PageAsk`; the reply is `Page`, or null where the asker lacks nothing. */
  page: 'statePage',
  /** Body null: the asker holds more than the one that is asked, which catches up from it and replies the log index it then has. */
  behind: 'stateBehind',
} as const;

/** A request for one page of a transfer. */
export interface PageRequest {
  /** The log index that the asker has committed, -1 for none. */
  readonly logIndex: number;
  /** The transfer that was begun, by the SHA-256 of its bytes in hex; null to begin one. */
  readonly digest: string | null;
  /** Bytes of it that the asker has. */
  readonly offset: number;
}

/** One page of a transfer: `bytes` from `offset` on, of `size` bytes in all. */
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

/** True where a body has the shape of the message. */
export const catchUpMessages = { isPageRequest, isPage };
