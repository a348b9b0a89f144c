/** Reads the list of tests that are known to fail, and decides by it whether a test run passes. */

/** How a test, or a hook or worker in its place, ended; `fault` null: it passed. */
export interface TestResult {
  readonly title: string;
  readonly fault: string | null;
  readonly isTest: boolean;
}

interface KnownRed {
  readonly title: string;
  readonly cause: string;
  readonly issue: string;
}

interface Listing {
  readonly entries: readonly KnownRed[];
  readonly faults: readonly string[];
}

interface Run {
  readonly results: readonly TestResult[];
  readonly declared: readonly string[];
  readonly selected: readonly string[];
}

interface Failure {
  readonly title: string;
  readonly fault: string;
}

interface Verdict {
  readonly passed: number;
  readonly failures: readonly Failure[];
  readonly knownReds: readonly KnownRed[];
  readonly isPassing: boolean;
}

const listName = 'KNOWN-RED.txt';

const parse = (text: string): Listing => {
  const entries: KnownRed[] = [];
  const faults: string[] = [];
  for (const [at, line] of text.split(/\r?\n/).entries()) {
    if (line.trim() === '' || line.startsWith('#')) continue;
    const [title = '', cause = '', issue = '', ...rest] = line.split('\t').map((part) => part.trim());
    if (title === '' || cause === '' || issue === '' || rest.length > 0)
      faults.push(`line ${at + 1} is not: title TAB cause TAB issue`);
    else if (entries.some((entry) => entry.title === title))
      faults.push(`line ${at + 1} lists a title again: ${title}`);
    else entries.push({ title, cause, issue });
  }
  return { entries, faults };
};

const staleness = (entry: KnownRed, run: Run): string | null => {
  if (!run.declared.includes(entry.title)) return 'listed, but no test has this title';
  if (!run.selected.includes(entry.title)) return null;
  const own = run.results.filter((result) => result.isTest && result.title === entry.title);
  if (own.length === 0) return 'listed, but it did not run';
  return own.some((result) => result.fault === null) ? 'listed, but it passes' : null;
};

/** Selected tests without a result, but listed ones, which are told as stale: a lost test must not pass unseen. */
const notRun = (run: Run, listed: ReadonlySet<string>): Failure[] => {
  const told = new Set(run.results.filter((result) => result.isTest).map((result) => result.title));
  const lost = run.selected.filter((title) => !told.has(title) && !listed.has(title));
  return lost.map((title) => ({ title, fault: 'selected, but it did not run' }));
};

const evaluate = (listing: Listing, run: Run): Verdict => {
  const stale = listing.entries.flatMap((entry) => {
    const fault = staleness(entry, run);
    return fault === null ? [] : [{ title: entry.title, fault: `${listName}: ${fault}` }];
  });
  const listed = new Set(listing.entries.map((entry) => entry.title));
  const staleTitles = new Set(stale.map((failure) => failure.title));
  const isExcused = (result: TestResult): boolean =>
    result.isTest && listed.has(result.title) && !staleTitles.has(result.title);
  const counted = run.results.filter((result) => !isExcused(result));
  const passed = counted.filter((result) => result.fault === null && !staleTitles.has(result.title)).length;
  const failures = [
    ...counted.flatMap(({ title, fault }) => (fault === null ? [] : [{ title, fault }])),
    ...notRun(run, listed),
    ...stale,
    ...listing.faults.map((fault) => ({ title: listName, fault })),
  ];
  const knownReds = listing.entries.filter((entry) =>
    run.results.some((result) => isExcused(result) && result.title === entry.title),
  );
  return { passed, failures, knownReds, isPassing: passed > 0 && failures.length === 0 };
};

const lines = ({ passed, failures, knownReds }: Verdict): string[] => [
  ...failures.flatMap(({ title, fault }) => ['', title, fault]),
  '',
  ...knownReds.map(({ title, cause, issue }) => `known red ${title}: ${cause} (${issue})`),
  `known red: ${knownReds.length}`,
  `${passed} passed, ${failures.length} failed`,
];

/** `parse` reads the list, `evaluate` holds a run against it, `lines` writes the outcome. */
export const knownRed = { parse, judge: evaluate, lines };
