/** Selects which seeds of a test run in `npm test`, and which only in the long run, `npm run test:long`. */

/** The environment variable that enables the long run; `npm run test:long` sets it to `1`. */
const longRunVariable = 'MARTENWORKS_TEST_LONG';

/** The seeds of one property. */
interface SeedRanges {
  /** Run by every `npm test`: several seeds, among them one that detects each injected defect. */
  readonly always: readonly number[];
  /** Run in addition by the long run only. */
  readonly longRun: readonly number[];
}

const isLong = (environment: NodeJS.ProcessEnv): boolean => environment[longRunVariable] === '1';

/** Returns the seeds to run: `always`, followed by `longRun` in the long run. */
const seeds = ({ always, longRun }: SeedRanges, environment: NodeJS.ProcessEnv = process.env): readonly number[] =>
  isLong(environment) ? [...always, ...longRun] : always;

/** `seeds` selects the seeds of a test for the current run. */
export const testLength = { seeds };
