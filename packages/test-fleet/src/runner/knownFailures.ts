/** Reads the list of tests that are known to fail, and decides whether a test run passes given that list. */

/** The outcome of a test, or of a hook or worker that failed; `error` is null if the test passed. */
export interface TestResult {
  readonly title: string;
  readonly error: string | null;
  readonly isTest: boolean;
}

interface KnownFailure {
  readonly title: string;
  readonly cause: string;
  readonly issue: string;
}

interface Listing {
  readonly entries: readonly KnownFailure[];
  readonly errors: readonly string[];
}

interface Run {
  readonly results: readonly TestResult[];
  readonly declared: readonly string[];
  readonly selected: readonly string[];
}

interface Failure {
  readonly title: string;
  readonly error: string;
}

interface Verdict {
  readonly passed: number;
  readonly failures: readonly Failure[];
  readonly excused: readonly KnownFailure[];
  readonly isPassing: boolean;
}

const listName = 'KNOWN-RED.txt';

const parse = (text: string): Listing => {
  const entries: KnownFailure[] = [];
  const errors: string[] = [];
  for (const [at, line] of text.split(/\r?\n/).entries()) {
    if (line.trim() === '' || line.startsWith('#')) continue;
    const [title = '', cause = '', issue = '', ...rest] = line.split('\t').map((part) => part.trim());
    if (title === '' || cause === '' || issue === '' || rest.length > 0)
      errors.push(`line ${at + 1} must have the form: title TAB cause TAB issue`);
    else if (entries.some((entry) => entry.title === title))
      errors.push(`line ${at + 1} lists a title twice: ${title}`);
    else entries.push({ title, cause, issue });
  }
  return { entries, errors };
};

const staleReason = (entry: KnownFailure, run: Run): string | null => {
  if (!run.declared.includes(entry.title)) return 'listed, but no test has this title';
  if (!run.selected.includes(entry.title)) return null;
  const matching = run.results.filter((result) => result.isTest && result.title === entry.title);
  if (matching.length === 0) return 'listed, but it did not run';
  return matching.some((result) => result.error === null) ? 'listed, but it passes' : null;
};

/**
 * Returns a failure for each selected test without a result, so that a lost test does not pass unnoticed. Excludes
 * listed tests, which are reported as stale entries.
 */
const notRun = (run: Run, listed: ReadonlySet<string>): Failure[] => {
  const reported = new Set(run.results.filter((result) => result.isTest).map((result) => result.title));
  const missing = run.selected.filter((title) => !reported.has(title) && !listed.has(title));
  return missing.map((title) => ({ title, error: 'selected, but it did not run' }));
};

const evaluate = (listing: Listing, run: Run): Verdict => {
  const stale = listing.entries.flatMap((entry) => {
    const reason = staleReason(entry, run);
    return reason === null ? [] : [{ title: entry.title, error: `${listName}: ${reason}` }];
  });
  const listed = new Set(listing.entries.map((entry) => entry.title));
  const staleTitles = new Set(stale.map((failure) => failure.title));
  const isExcused = (result: TestResult): boolean =>
    result.isTest && listed.has(result.title) && !staleTitles.has(result.title);
  const counted = run.results.filter((result) => !isExcused(result));
  const passed = counted.filter((result) => result.error === null && !staleTitles.has(result.title)).length;
  const failures = [
    ...counted.flatMap(({ title, error }) => (error === null ? [] : [{ title, error }])),
    ...notRun(run, listed),
    ...stale,
    ...listing.errors.map((error) => ({ title: listName, error })),
  ];
  const excused = listing.entries.filter((entry) =>
    run.results.some((result) => isExcused(result) && result.title === entry.title),
  );
  return { passed, failures, excused, isPassing: passed > 0 && failures.length === 0 };
};

const lines = ({ passed, failures, excused }: Verdict): string[] => [
  ...failures.flatMap(({ title, error }) => ['', title, error]),
  '',
  ...excused.map(({ title, cause, issue }) => `known red ${title}: ${cause} (${issue})`),
  `known red: ${excused.length}`,
  `${passed} passed, ${failures.length} failed`,
];

/** `parse` reads the list, `evaluate` compares a run with it, `lines` formats the verdict. */
export const knownFailures = { parse, evaluate, lines };
