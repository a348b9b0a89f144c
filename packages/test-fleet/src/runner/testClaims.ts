/** Distributes the tests of a run over worker threads: each test runs in the first worker that claims it. */

/** The maximum number of tests of one run. */
const maxTests = 65_536;

/** One worker's view of the claims on the tests of a run, by position in declaration order. */
export class TestClaims {
  private readonly claimed: Uint8Array;

  /** @param memory the claims of all workers, from {@link TestClaims.createMemory} */
  constructor(memory: SharedArrayBuffer) {
    this.claimed = new Uint8Array(memory);
  }

  /** Allocates the memory for the claims of one run, to be passed to each of its workers. */
  static readonly createMemory = (): SharedArrayBuffer => new SharedArrayBuffer(maxTests);

  /**
   * Claims a test; returns true for exactly one worker.
   *
   * @throws RangeError if the position is beyond the maximum number of tests
   */
  readonly claim = (position: number): boolean => {
    if (position >= this.claimed.length)
      throw new RangeError(`test position ${position} exceeds the maximum of ${this.claimed.length} tests`);
    return Atomics.compareExchange(this.claimed, position, 0, 1) === 0;
  };
}
