/** Parts the seeds of a test between every run of `npm test` and the long run, `npm run test:long`. */

/** The environment variable that asks for the long run; `npm run test:long` sets it to `1`. */
const longRunVariable = 'MARTENWORKS_TEST_LONG';

/** The seeds of one property. */
interface SeedRanges {
  /** Run by every `npm test`: several seeds, and one that finds each deliberate break. */
  readonly always: readonly number[];
  /** Run besides by the long run alone. */
  readonly longRun: readonly number[];
}

/** Whether the environment asks for the long run. */
const isLong = (environment: NodeJS.ProcessEnv): boolean => environment[longRunVariable] === '1';

/** The seeds to run now: those of every run, and in the long run the others after them. */
const seeds = ({ always, longRun }: SeedRanges, environment: NodeJS.ProcessEnv = process.env): readonly number[] =>
  isLong(environment) ? [...always, ...longRun] : always;

/** The choice of seeds by the length of the run. */
export const testLength = { seeds };
