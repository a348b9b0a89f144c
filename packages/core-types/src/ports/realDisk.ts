/** The disk port over one data folder of this machine. */
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

const toResult = async <T>(work: () => Promise<T>): Promise<Result<T, DiskError>> => {
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
  const read = await toResult(() => readFile(path));
  if (read.isErr() && read.error.code === 'ENOENT') return ok(null);
  return read.map((bytes) => new Uint8Array(bytes.buffer, bytes.byteOffset, bytes.byteLength));
};

const toDiskFile = (handle: FileHandle): DiskFile => ({
  append: (bytes) =>
    toResult(async () => {
      let offset = 0;
      while (offset < bytes.length) offset += (await handle.write(bytes, offset)).bytesWritten;
    }),
  sync: () => toResult(() => handle.datasync()),
  close: async () => {
    await toResult(() => handle.close());
  },
});

const openForAppending = async (folder: string, name: string): Promise<DiskFile> => {
  const handle = await open(join(folder, name), 'a');
  await handle.sync();
  await syncFolder(folder);
  return toDiskFile(handle);
};

const replaceFile = async (folder: string, name: string, bytes: Uint8Array): Promise<void> => {
  const temporaryPath = join(folder, `${name}.draft`);
  const handle = await open(temporaryPath, 'w');
  try {
    await handle.writeFile(bytes);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporaryPath, join(folder, name));
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

/** Opens the disk over a folder, which is created if it is missing. */
export const realDisk = (folder: string): Disk => {
  mkdirSync(folder, { recursive: true });
  return {
    list: () => toResult(() => readdir(folder)),
    read: (name) => readFrom(join(folder, name)),
    open: (name) => toResult(() => openForAppending(folder, name)),
    replace: (name, bytes) => toResult(() => replaceFile(folder, name, bytes)),
    sync: (name) => toResult(() => syncFile(join(folder, name))),
    truncate: (name, size) => toResult(() => truncateFile(join(folder, name), size)),
    remove: (name) => toResult(() => removeFile(folder, name)),
  };
};

/** The disk of a node without a data folder: every operation fails with `NODATA`. */
export const noDisk = (): Disk => {
  const fail = async <T>(): Promise<Result<T, DiskError>> =>
    err({ kind: 'disk', code: 'NODATA', detail: 'this node has no data folder' });
  return { list: fail, read: fail, open: fail, replace: fail, sync: fail, truncate: fail, remove: fail };
};
