import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { machine } from '@martenworks/core-types';

describe('the disk of a real machine', () => {
  let folder = '';

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'martenworks-disk-'));
  });

  afterEach(() => rmSync(folder, { recursive: true }));

  it('given a file that another process wrote, when it is synced, then its contents are unchanged; given no file, then sync fails with ENOENT', async () => {
    const disk = machine.disk(folder);
    writeFileSync(join(folder, 'book'), 'written, not synced');
    expect((await disk.sync('book')).isOk()).to.equal(true);
    expect(readFileSync(join(folder, 'book'), 'utf8')).to.equal('written, not synced');
    expect((await disk.sync('absent'))._unsafeUnwrapErr()).to.include({ kind: 'disk', code: 'ENOENT' });
  });

  it('given a node without a data folder, when a file is synced, then it fails with NODATA', async () => {
    expect((await machine.noDisk().sync('book'))._unsafeUnwrapErr().code).to.equal('NODATA');
  });
});
