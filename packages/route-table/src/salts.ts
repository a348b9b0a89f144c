/** Scopes of prefix cache keys, which keep tenants and weights versions apart. */
import type { Customer } from '@martenworks/core-types';

/**
 * The text under which parts are kept: one for each model, version of its weights and, for an isolated customer, its
 * name. Parts under another text are never found, so no holder can hand over a wrong part.
 */
export const salts = {
  of: (model: string, version: number, customer: Customer | null): string =>
    `${model}@${version}${customer?.isIsolated === true ? `/${customer.name}` : ''}`,
  versionOf: (salt: string): number => Number(/@(\d+)/.exec(salt)?.[1] ?? Number.NaN),
};
