/** Maps names to small integers, for tables stored as arrays. */

/** Numbers names from 0 in the order in which they are first used; none is ever removed. */
export class DenseIndex {
  private readonly indices = new Map<string, number>();
  private readonly names: string[] = [];

  /** Returns the number of a name, and assigns the next one to a new name. */
  readonly indexOf = (name: string): number => {
    const known = this.indices.get(name);
    if (known !== undefined) return known;
    const index = this.names.length;
    this.indices.set(name, index);
    this.names.push(name);
    return index;
  };

  /** Returns the number of a name, or undefined. */
  readonly find = (name: string): number | undefined => this.indices.get(name);

  /** Returns the name with this number, or an empty string. */
  readonly nameOf = (index: number): string => this.names[index] ?? '';

  /** The number of names. */
  readonly size = (): number => this.names.length;
}
