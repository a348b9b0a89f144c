/** The names of a log's files: `PREFIX-segment-NUMBER` and `PREFIX-checkpoint-NUMBER`, with ten digits. */

/** Segments hold records; a checkpoint file holds a snapshot. */
type FileKind = 'segment' | 'checkpoint';

/** What the name of a file tells. */
interface FileName {
  readonly kind: FileKind;
  readonly number: number;
}

const digits = 10;

const of = (prefix: string, kind: FileKind, number: number): string =>
  `${prefix}-${kind}-${String(number).padStart(digits, '0')}`;

const parse = (prefix: string, name: string): FileName | null => {
  const found = new RegExp(`^${prefix}-(segment|checkpoint)-(\\d{${digits}})$`).exec(name);
  return found === null ? null : { kind: found[1] as FileKind, number: Number(found[2]) };
};

const numbers = (prefix: string, names: readonly string[], kind: FileKind): number[] =>
  names
    .flatMap((name) => parse(prefix, name) ?? [])
    .filter((file) => file.kind === kind)
    .map((file) => file.number)
    .sort((a, b) => a - b);

/** Builds and reads names; `numbers` lists those of one kind of file, the lowest first. */
export const fileNames = { of, parse, numbers };
