export class DenseIndex {
  private readonly indices = new Map<string, number>();
  private readonly names: string[] = [];

  readonly indexOf = (name: string): number => {
    const known = this.indices.get(name);
    if (known !== undefined) return known;
    const index = this.names.length;
    this.indices.set(name, index);
    this.names.push(name);
    return index;
  };

  readonly find = (name: string): number | undefined => this.indices.get(name);

  readonly nameOf = (index: number): string => this.names[index] ?? '';

  readonly size = (): number => this.names.length;
}
