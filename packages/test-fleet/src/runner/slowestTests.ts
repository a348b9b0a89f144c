/** The lines of a test run that name its slowest tests. */

/** A test and the wall-clock time that it took, which grows with whatever else the machine runs. */
export interface TimedTest {
  readonly title: string;
  readonly durationMs: number;
}

/** The `count` slowest tests, slowest first, a line each, after a line with the sum over all tests. */
const lines = (tests: readonly TimedTest[], count: number): string[] => {
  const totalMs = tests.reduce((sum, { durationMs }) => sum + durationMs, 0);
  const slowest = [...tests].sort((a, b) => b.durationMs - a.durationMs).slice(0, count);
  return [
    `slowest ${slowest.length} of ${tests.length} tests, which took ${totalMs} ms together`,
    ...slowest.map(({ title, durationMs }) => `${String(durationMs).padStart(8)} ms  ${title}`),
  ];
};

/** The report of the slowest tests. */
export const slowestTests = { lines };
