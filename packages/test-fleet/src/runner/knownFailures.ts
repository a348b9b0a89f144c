/** Reads the list of tests that are known to fail, and decides by it whether a test run passes. */

/** How a test, or a hook or worker in its place, ended; `fault` null: it passed. */
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
      errors.push(`line ${at + 1} is not: title TAB cause TAB issue`);
    else if (entries.some((entry) => entry.title === title))
      errors.push(`line ${at + 1} lists a title again: ${title}`);
    else entries.push({ title, cause, issue });
  }
  return { entries, errors };
};

const staleReason = (entry: KnownFailure, run: Run): string | null => {
  if (!run.declared.includes(entry.title)) return 'listed, but no test has this title';
  if (!run.selected.includes(entry.title)) return null;
  const own = run.results.filter((result) => result.isTest && result.title === entry.title);
  if (own.length === 0) return 'listed, but it did not run';
  return own.some((result) => result.error === null) ? 'listed, but it passes' : null;
};

/** Selected tests without a result, but listed ones, which are told as stale: a lost test must not pass unseen. */
const notRun = (run: Run, listed: ReadonlySet<string>): Failure[] => {
  const told = new Set(run.results.filter((result) => result.isTest).map((result) => result.title));
  const lost = run.selected.filter((title) => !told.has(title) && !listed.has(title));
  return lost.map((title) => ({ title, error: 'selected, but it did not run' }));
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

/** `parse` reads the list, `evaluate` holds a run against it, `lines` writes the outcome. */
export const knownFailures = { parse, evaluate, lines };
