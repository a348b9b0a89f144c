/** Maps names to small numbers, for tables that are arrays. */

/** Numbers names from 0 in the order they first come; none is ever removed. */
export class DenseIndex {
  private readonly indices = new Map<string, number>();
  private readonly names: string[] = [];

  /** The number of a name, a new one where it is new. */
  readonly indexOf = (name: string): number => {
    const known = this.indices.get(name);
    if (known !== undefined) return known;
    const index = this.names.length;
    this.indices.set(name, index);
    this.names.push(name);
    return index;
  };

  /** The number of a name, if it has one. */
  readonly find = (name: string): number | undefined => this.indices.get(name);

  /** The name of a number; empty where there is none. */
  readonly nameOf = (index: number): string => this.names[index] ?? '';

  /** How many names there are. */
  readonly size = (): number => this.names.length;
}
