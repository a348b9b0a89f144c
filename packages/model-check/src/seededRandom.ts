/** Seeded random numbers, which make schedules reproducible. */

/** A seeded generator of pseudo-random numbers (mulberry32): equal seeds give equal sequences. */
export class SeededRandom {
  private state: number;

  constructor(seed: number) {
    this.state = seed >>> 0;
  }

  /** A number in [0, 1). */
  readonly fraction = (): number => {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let mixed = this.state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };

  /** One element, drawn uniformly; undefined if the list is empty. */
  readonly pick = <T>(list: readonly T[]): T | undefined => list[Math.floor(this.fraction() * list.length)];

  /** True with the given probability (0 to 1). */
  readonly chance = (probability: number): boolean => this.fraction() < probability;
}
