/** Salts of prefix cache keys, which keep isolated customers and weights versions apart. */
import type { Customer } from '@martenworks/core-types';

/**
 * The salt under which prompt parts are cached: one per model, weights version and isolated customer. A lookup never
 * finds parts under another salt, so a source cannot serve a part of other weights or of another isolated customer.
 */
export const salts = {
  of: (model: string, version: number, customer: Customer | null): string =>
    `${model}@${version}${customer?.isIsolated === true ? `/${customer.name}` : ''}`,
  versionOf: (salt: string): number => Number(/@(\d+)/.exec(salt)?.[1] ?? Number.NaN),
};
