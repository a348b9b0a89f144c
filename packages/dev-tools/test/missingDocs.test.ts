import { expect } from 'chai';
import { Project } from 'ts-morph';
import { missingDocs } from '@martenworks/dev-tools';

const head = '/** A module. */\nimport type { Base } from "./base.js";\n';
const baseText = 'export abstract class Base { abstract run(): void }\nexport interface Port { send(): void }\n';

const project = new Project({ useInMemoryFileSystem: true, compilerOptions: { noLib: true } });
project.createSourceFile('/base.ts', baseText);

const missingIn = (text: string): string[] => {
  const file = project.createSourceFile('/file.ts', text, { overwrite: true });
  return missingDocs.inFile(file).map(({ line, kind, name }) => `${line} ${kind} ${name}`);
};

describe('missing doc comments', () => {
  it('given exported items of each kind without a comment, when the file is checked, then each is reported with its line', () => {
    const text = `${head}
export function call(): void {}
export const limitMs = 1;
export interface Shape {}
export type Name = string;
export enum Kind { a }
export class Queue {}
const later = 2;
export { later };
`;
    expect(missingIn(text)).to.deep.equal([
      '4 function call',
      '5 const limitMs',
      '6 interface Shape',
      '7 type Name',
      '8 enum Kind',
      '9 class Queue',
      '10 const later',
    ]);
  });

  it('given a doc comment on each item, when the file is checked, then nothing is reported', () => {
    const text = `${head}
/** Calls. */
export function call(): void {}
/** The limit, in milliseconds. */
export const limitMs = 1;
const inner = 2;
/** A queue. */
export class Queue {
  /** Its length. */
  readonly length = inner;
  private readonly entries = [];
  #seen = 0;
  constructor(/** Most entries. */ readonly limit: number) {}
  protected grow(): void {}
}
`;
    expect(missingIn(text)).to.deep.equal([]);
  });

  it('given line comments, plain block comments and empty doc comments, when the file is checked, then none of them counts', () => {
    const text = `${head}
// The limit.
export const a = 1;
/* The limit. */
export const b = 1;
/** */
export const c = 1;
`;
    expect(missingIn(text)).to.deep.equal(['5 const a', '7 const b', '9 const c']);
  });

  it('given members without a comment, when the file is checked, then only the public ones are reported', () => {
    const text = `${head}
/** A queue. */
export class Queue {
  readonly length = 1;
  static create(): void {}
  push = (): void => {};
  get first(): number { return 1; }
  private drop(): void {}
  constructor(readonly limit: number, private readonly owner: string, least: number) {}
}
`;
    expect(missingIn(text)).to.deep.equal([
      '6 member Queue.length',
      '7 member Queue.create',
      '8 member Queue.push',
      '9 member Queue.first',
      '11 member Queue.limit',
    ]);
  });

  it('given members that override or implement a member of a base, when the file is checked, then only the others are reported', () => {
    const text = `/** A module. */
import { Base } from './base.js';
import type { Port } from './base.js';
/** A line. */
export class Line extends Base implements Port {
  override run(): void {}
  send(): void {}
  close(): void {}
}
`;
    expect(missingIn(text)).to.deep.equal(['8 member Line.close']);
  });

  it('given a constructor comment that describes a parameter, when the file is checked, then that parameter property is documented', () => {
    const text = `${head}
/** A queue. */
export class Queue {
  /** @param limit most entries */
  constructor(readonly limit: number, readonly owner: string) {}
}
`;
    expect(missingIn(text)).to.deep.equal(['7 member Queue.owner']);
  });

  it('given no comment at the top of a file, when the file is checked, then its module is reported', () => {
    expect(missingIn('import "./base.js";\n')).to.deep.equal(['1 module file.ts']);
  });

  it('given one comment before the first item and no import, when the file is checked, then it belongs to the item alone', () => {
    expect(missingIn('/** The limit. */\nexport const limit = 1;\n')).to.deep.equal(['2 module file.ts']);
    expect(missingIn('/** A module. */\n\n/** The limit. */\nexport const limit = 1;\n')).to.deep.equal([]);
  });

  it('given a re-export, when the file is checked, then the item is not reported, since it counts where it is declared', () => {
    expect(missingIn('/** A module. */\nexport { Base } from "./base.js";\n')).to.deep.equal([]);
  });
});
