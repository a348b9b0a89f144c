/** Reports the slowest tests of a run. */

/** A test and its wall-clock time, which also depends on the other load of the machine. */
export interface TimedTest {
  readonly title: string;
  readonly durationMs: number;
}

/** Returns a line with the total time of all tests, then a line per test of the `count` slowest, slowest first. */
const lines = (tests: readonly TimedTest[], count: number): string[] => {
  const totalMs = tests.reduce((sum, { durationMs }) => sum + durationMs, 0);
  const slowest = [...tests].sort((a, b) => b.durationMs - a.durationMs).slice(0, count);
  return [
    `slowest ${slowest.length} of ${tests.length} tests, which took ${totalMs} ms together`,
    ...slowest.map(({ title, durationMs }) => `${String(durationMs).padStart(8)} ms  ${title}`),
  ];
};

/** `lines` formats the report. */
export const slowestTests = { lines };
