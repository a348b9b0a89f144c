/** The settings of an edge or control node; checked with valibot, since loading arktype would slow down the start. */
import * as v from 'valibot';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ValidationIssue } from './gatewayConfigCheck.js';

const addressSchema = v.pipe(
  v.string(),
  v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be an IPv4 address and port'),
);
const nameSchema = v.pipe(v.string(), v.regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, 'must be a name'));
const numberBetween = (low: number, high: number) => v.pipe(v.number(), v.minValue(low), v.maxValue(high));
const milliseconds = numberBetween(0, 86_400_000);

const nodeSettingsSchema = v.object({
  name: nameSchema,
  zone: nameSchema,
  zones: v.record(v.string(), v.string()),
  peerAddress: addressSchema,
  http: addressSchema,
  ready: v.optional(v.nullable(addressSchema), null),
  seeds: v.pipe(v.array(addressSchema), v.minLength(1)),
  data: v.optional(v.nullable(v.string()), null),
  voters: v.pipe(numberBetween(1, 99), v.integer()),
  isFresh: v.boolean(),
  drainMs: milliseconds,
  orderGapMs: milliseconds,
  versionMs: milliseconds,
  controlLossTimeoutMs: v.optional(v.nullable(milliseconds), null),
  retryBudgetRatio: numberBetween(0, 10),
  retryBudgetWindowMs: numberBetween(100, 600_000),
  retryBudgetSlack: numberBetween(0, 1_000_000),
  listIntervalMs: numberBetween(50, 600_000),
  listPerSecond: numberBetween(0.001, 100_000),
  listTimeoutMs: milliseconds,
  memoryMb: numberBetween(16, 1_048_576),
  openFiles: numberBetween(64, 100_000_000),
  logs: v.optional(v.boolean(), true),
  detectsStaleEntries: v.optional(v.boolean(), true),
});

/** The settings of an edge or control node: its addresses, timeouts (milliseconds unless named otherwise) and limits. */
export type NodeSettings = v.InferOutput<typeof nodeSettingsSchema>;

/** Converts the issues of a valibot check; each path starts with `prefix`. */
export const validationIssues = {
  of: (issues: readonly v.BaseIssue<unknown>[], prefix = ''): ValidationIssue[] =>
    issues.map((issue) => ({
      path: `${prefix}/${(issue.path ?? []).map((segment) => String(segment.key)).join('/')}`,
      message: issue.message,
    })),
};

/** Validates the settings of an edge or control node. */
export const nodeSettings = {
  check: (input: unknown): Result<NodeSettings, ValidationIssue[]> => {
    const parsed = v.safeParse(nodeSettingsSchema, input);
    return parsed.success ? ok(parsed.output) : err(validationIssues.of(parsed.issues));
  },
};
