/** The disk port over one data folder; each call ends once its change is synced. */
import { mkdirSync } from 'node:fs';
import { open, readFile, readdir, rename, rm, truncate } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { DiskError } from '../errors.js';
import type { Disk, DiskFile } from './ports.js';
import { systemErrorCode } from './systemErrorCode.js';

const diskError = (cause: unknown): DiskError => ({
  kind: 'disk',
  code: systemErrorCode(cause),
  detail: String((cause as Error | null)?.message ?? cause),
});

const onDisk = async <T>(work: () => Promise<T>): Promise<Result<T, DiskError>> => {
  try {
    return ok(await work());
  } catch (cause) {
    return err(diskError(cause));
  }
};

const syncFolder = async (folder: string): Promise<void> => {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

const readFrom = async (path: string): Promise<Result<Uint8Array | null, DiskError>> => {
  const read = await onDisk(() => readFile(path));
  if (read.isErr() && read.error.code === 'ENOENT') return ok(null);
  return read.map((bytes) => new Uint8Array(bytes.buffer, bytes.byteOffset, bytes.byteLength));
};

const fileOver = (handle: FileHandle): DiskFile => ({
  append: (bytes) =>
    onDisk(async () => {
      let begin = 0;
      while (begin < bytes.length) begin += (await handle.write(bytes, begin)).bytesWritten;
    }),
  sync: () => onDisk(() => handle.datasync()),
  close: async () => {
    await onDisk(() => handle.close());
  },
});

const openForAppending = async (folder: string, name: string): Promise<DiskFile> => {
  const handle = await open(join(folder, name), 'a');
  await handle.sync();
  await syncFolder(folder);
  return fileOver(handle);
};

const replaceFile = async (folder: string, name: string, bytes: Uint8Array): Promise<void> => {
  const draft = join(folder, `${name}.draft`);
  const handle = await open(draft, 'w');
  try {
    await handle.writeFile(bytes);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(draft, join(folder, name));
  await syncFolder(folder);
};

const syncFile = async (path: string): Promise<void> => {
  const handle = await open(path, 'r+');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

const truncateFile = async (path: string, size: number): Promise<void> => {
  await truncate(path, size);
  await syncFile(path);
};

const removeFile = async (folder: string, name: string): Promise<void> => {
  await rm(join(folder, name), { force: true });
  await syncFolder(folder);
};

/** The disk over a folder, which is made where it is missing. */
export const realDisk = (folder: string): Disk => {
  mkdirSync(folder, { recursive: true });
  return {
    list: () => onDisk(() => readdir(folder)),
    read: (name) => readFrom(join(folder, name)),
    open: (name) => onDisk(() => openForAppending(folder, name)),
    replace: (name, bytes) => onDisk(() => replaceFile(folder, name, bytes)),
    sync: (name) => onDisk(() => syncFile(join(folder, name))),
    truncate: (name, size) => onDisk(() => truncateFile(join(folder, name), size)),
    remove: (name) => onDisk(() => removeFile(folder, name)),
  };
};

/** The disk of a node without a data folder: every call fails with `NODATA`. */
export const noDisk = (): Disk => {
  const refuse = async <T>(): Promise<Result<T, DiskError>> =>
    err({ kind: 'disk', code: 'NODATA', detail: 'this node has no data folder' });
  return { list: refuse, read: refuse, open: refuse, replace: refuse, sync: refuse, truncate: refuse, remove: refuse };
};
