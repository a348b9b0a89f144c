/** Shares the tests of a run out among worker threads: each test goes to the first worker that is free for it. */

/** The most tests that one run can share out. */
const capacity = 65_536;

/** The claims of one worker on the tests of the run, by their position in the order of declaration. */
export class TestClaims {
  private readonly claimed: Uint8Array;

  /** @param memory the claims of all workers of the run, from {@link TestClaims.createMemory} */
  constructor(memory: SharedArrayBuffer) {
    this.claimed = new Uint8Array(memory);
  }

  /** Memory for the claims of one run, to be handed to each of its workers. */
  static readonly createMemory = (): SharedArrayBuffer => new SharedArrayBuffer(capacity);

  /**
   * Claims a test; true for one worker alone.
   *
   * @throws RangeError if the run has more tests than can be shared out
   */
  readonly claim = (position: number): boolean => {
    if (position >= this.claimed.length)
      throw new RangeError(`no more than ${this.claimed.length} tests can be shared out`);
    return Atomics.compareExchange(this.claimed, position, 0, 1) === 0;
  };
}
