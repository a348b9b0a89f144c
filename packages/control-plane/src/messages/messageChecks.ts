/** Building blocks for type guards of message bodies, which arrive from other processes and can have any shape. */

/** Returns whether a value received from another process has the type. */
export type MessageCheck<T> = (value: unknown) => value is T;

/** An object with fields that are not checked yet. */
type UncheckedFields = Record<string, unknown>;

const isObject = (value: unknown): value is UncheckedFields => typeof value === 'object' && value !== null;
const isText = (value: unknown): value is string => typeof value === 'string';
const isNumber = (value: unknown): value is number => typeof value === 'number';
const isInteger = (value: unknown): value is number => Number.isInteger(value);
const isBoolean = (value: unknown): value is boolean => typeof value === 'boolean';
const isBytes = (value: unknown): value is Uint8Array => value instanceof Uint8Array;

const isListOf =
  <T>(check: MessageCheck<T>): MessageCheck<readonly T[]> =>
  (value): value is readonly T[] =>
    Array.isArray(value) && value.every(check);

const isRecordOf =
  <T>(check: MessageCheck<T>): MessageCheck<Record<string, T>> =>
  (value): value is Record<string, T> =>
    isObject(value) && Object.values(value).every(check);

const isNullOr =
  <T>(check: MessageCheck<T>): MessageCheck<T | null> =>
  (value): value is T | null =>
    value === null || check(value);

/** Type guards for primitive values, and for lists, records and nullable values composed of other guards. */
export const messageChecks = {
  isObject,
  isText,
  isNumber,
  isInteger,
  isBoolean,
  isBytes,
  isListOf,
  isRecordOf,
  isNullOr,
  isTexts: isListOf(isText),
};
