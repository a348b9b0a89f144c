/** The names of a log's files: `PREFIX-segment-NUMBER` and `PREFIX-checkpoint-NUMBER`, with ten digits. */

/** Segments hold records; a checkpoint file holds a snapshot. */
type FileKind = 'segment' | 'checkpoint';

/** The parts of a file name. */
interface FileName {
  readonly kind: FileKind;
  readonly number: number;
}

const digits = 10;

const of = (prefix: string, kind: FileKind, number: number): string =>
  `${prefix}-${kind}-${String(number).padStart(digits, '0')}`;

const parse = (prefix: string, name: string): FileName | null => {
  const match = new RegExp(`^${prefix}-(segment|checkpoint)-(\\d{${digits}})$`).exec(name);
  return match === null ? null : { kind: match[1] as FileKind, number: Number(match[2]) };
};

const numbers = (prefix: string, names: readonly string[], kind: FileKind): number[] =>
  names
    .flatMap((name) => parse(prefix, name) ?? [])
    .filter((file) => file.kind === kind)
    .map((file) => file.number)
    .sort((a, b) => a - b);

/** Formats and parses file names; `numbers` returns the numbers of all files of one kind in ascending order. */
export const fileNames = { of, parse, numbers };
