/** The settings of an edge or control node, checked without arktype, whose loading a start would pay for. */
import * as v from 'valibot';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ValidationIssue } from './gatewayConfigCheck.js';

const address = v.pipe(v.string(), v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be an IPv4 address and port'));
const label = v.pipe(v.string(), v.regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, 'must be a name'));
const between = (low: number, high: number) => v.pipe(v.number(), v.minValue(low), v.maxValue(high));
const milliseconds = between(0, 86_400_000);

const shape = v.object({
  name: label,
  zone: label,
  zones: v.record(v.string(), v.string()),
  peerAddress: address,
  http: address,
  ready: v.optional(v.nullable(address), null),
  seeds: v.pipe(v.array(address), v.minLength(1)),
  data: v.optional(v.nullable(v.string()), null),
  voters: v.pipe(between(1, 99), v.integer()),
  isFresh: v.boolean(),
  drainMs: milliseconds,
  orderGapMs: milliseconds,
  versionMs: milliseconds,
  controlLossTimeoutMs: v.optional(v.nullable(milliseconds), null),
  retryBudgetRatio: between(0, 10),
  retryBudgetWindowMs: between(100, 600_000),
  retryBudgetSlack: between(0, 1_000_000),
  listIntervalMs: between(50, 600_000),
  listPerSecond: between(0.001, 100_000),
  listTimeoutMs: milliseconds,
  memoryMb: between(16, 1_048_576),
  openFiles: between(64, 100_000_000),
  logs: v.optional(v.boolean(), true),
  detectsStaleEntries: v.optional(v.boolean(), true),
});

/**
 * What a process of the opaque path is told: its place, its bounds (milliseconds unless the name says otherwise), its
 * limits.
 */
export type NodeSettings = v.InferOutput<typeof shape>;

/** The issues of a valibot check; `at` comes before each path. */
export const validationIssues = {
  of: (issues: readonly v.BaseIssue<unknown>[], at = ''): ValidationIssue[] =>
    issues.map((issue) => ({
      path: `${at}/${(issue.path ?? []).map((step) => String(step.key)).join('/')}`,
      message: issue.message,
    })),
};

/** Checks the settings of a node. */
export const nodeSettings = {
  check: (given: unknown): Result<NodeSettings, ValidationIssue[]> => {
    const shaped = v.safeParse(shape, given);
    return shaped.success ? ok(shaped.output) : err(validationIssues.of(shaped.issues));
  },
};
