/**
 * Limits the number of undocumented items in each package to what the settings file allows.
 *
 * A package is either done and may have none, or has a ceiling, so that the count cannot rise while its comments are
 * being added. A package that the settings do not name has a ceiling of 0, so new packages are documented from the start.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as v from 'valibot';
import { CheckSettingsError } from './errors.js';

const settingsSchema = v.strictObject({
  done: v.array(v.string()),
  ceilings: v.record(v.string(), v.pipe(v.number(), v.integer(), v.minValue(0))),
});

/** The settings file. Packages are named by their folder, relative to the repository root. */
export type DocBudgets = v.InferOutput<typeof settingsSchema>;

/** The number of undocumented items found in one package. */
export interface PackageCount {
  /** Folder of the package, relative to the repository root. */
  readonly name: string;
  /** Undocumented items and modules. */
  readonly missing: number;
}

/** The outcome for one package. */
interface PackageResult extends PackageCount {
  /** The highest count that passes: 0 for a package that is done. */
  readonly ceiling: number;
  /** Whether the settings list the package as done. */
  readonly isDone: boolean;
}

/** The outcome of the check. */
interface DocCheckResult {
  /** One entry for each package, in the order of the counts. */
  readonly packages: readonly PackageResult[];
  /** The reasons why the check fails, one sentence each; empty if it passes. */
  readonly failures: readonly string[];
}

/**
 * Parses the settings.
 *
 * @param file name of the settings file, for error messages
 * @param text its content
 */
const parse = (file: string, text: string): Result<DocBudgets, CheckSettingsError> => {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (cause) {
    return err(new CheckSettingsError(file, String(cause)));
  }
  const parsed = v.safeParse(settingsSchema, value);
  return parsed.success ? ok(parsed.output) : err(new CheckSettingsError(file, v.summarize(parsed.issues)));
};

const settingsFailures = (budgets: DocBudgets, counts: readonly PackageCount[]): string[] => {
  const known = new Set(counts.map((count) => count.name));
  const listedTwice = budgets.done.filter((name) => Object.hasOwn(budgets.ceilings, name));
  const unknown = [...budgets.done, ...Object.keys(budgets.ceilings)].filter((name) => !known.has(name));
  return [
    ...listedTwice.map((name) => `${name} is listed as done and has a ceiling as well`),
    ...unknown.map((name) => `${name} is in the settings, but there is no such package`),
  ];
};

/**
 * Compares the counts of all packages with the settings.
 *
 * Fails if a count exceeds its ceiling, or if the settings name a package that does not exist or list one as done and
 * with a ceiling.
 */
const evaluate = (budgets: DocBudgets, counts: readonly PackageCount[]): DocCheckResult => {
  const packages = counts.map((count) => {
    const ceiling = budgets.done.includes(count.name) ? 0 : (budgets.ceilings[count.name] ?? 0);
    return { ...count, ceiling, isDone: budgets.done.includes(count.name) };
  });
  const overCeiling = packages.filter(({ missing, ceiling }) => missing > ceiling);
  const failures = overCeiling.map(
    ({ name, missing, ceiling }) => `${name}: ${missing} without a doc comment, at most ${ceiling}`,
  );
  return { packages, failures: [...settingsFailures(budgets, counts), ...failures] };
};

/** The settings with each ceiling lowered to the count found, and with fully documented packages listed as done. */
const lowerCeilings = (budgets: DocBudgets, counts: readonly PackageCount[]): DocBudgets => {
  const results = evaluate(budgets, counts).packages;
  const isDone = ({ isDone, missing }: PackageResult): boolean => isDone || missing === 0;
  const withCeiling = results.filter((result) => !isDone(result));
  return {
    done: results.filter(isDone).map(({ name }) => name),
    ceilings: Object.fromEntries(withCeiling.map(({ name, missing, ceiling }) => [name, Math.min(missing, ceiling)])),
  };
};

/** The output of the command: one line per package, then the failures. */
const formatLines = ({ packages, failures }: DocCheckResult): string[] => [
  ...packages.map(({ name, missing, ceiling, isDone }) =>
    isDone ? `${name}: ${missing} missing, done` : `${name}: ${missing} missing, ceiling ${ceiling}`,
  ),
  ...failures.map((failure) => `FAILED ${failure}`),
];

/** Parses the settings of the documentation check and compares counts with them. */
export const docBudgets = { parse, evaluate, lowerCeilings, formatLines };
