import { randomBytes } from 'node:crypto';
import { mkdirSync } from 'node:fs';
import { open, readFile, readdir, rename, rm, truncate } from 'node:fs/promises';
import { createConnection, createServer } from 'node:net';
import type { Socket } from 'node:net';
import { join } from 'node:path';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, Disk, DiskError, Listener, Net, NetworkError, Random, RawConnection } from './ports.js';

export const addresses = {
  split: (address: string): { host: string; port: number } => {
    const at = address.lastIndexOf(':');
    return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
  },
};

const codeOf = (cause: unknown): string => (cause as { code?: string } | null)?.code ?? 'UNKNOWN';

const diskFault = (cause: unknown): DiskError => ({
  kind: 'disk',
  code: codeOf(cause),
  detail: String((cause as Error | null)?.message ?? cause),
});

const onDisk = async <T>(work: () => Promise<T>): Promise<Result<T, DiskError>> => {
  try {
    return ok(await work());
  } catch (cause) {
    return err(diskFault(cause));
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

const realDisk = (folder: string): Disk => {
  mkdirSync(folder, { recursive: true });
  return {
    list: () => onDisk(() => readdir(folder)),
    read: async (name) => {
      const held = await onDisk(() => readFile(join(folder, name)));
      if (held.isErr() && held.error.code === 'ENOENT') return ok(null);
      return held.map((bytes) => new Uint8Array(bytes.buffer, bytes.byteOffset, bytes.byteLength));
    },
    open: (name) =>
      onDisk(async () => {
        const handle = await open(join(folder, name), 'a');
        await handle.sync();
        await syncFolder(folder);
        return {
          append: (bytes: Uint8Array) =>
            onDisk(async () => {
              let begin = 0;
              while (begin < bytes.length) begin += (await handle.write(bytes, begin)).bytesWritten;
            }),
          sync: () => onDisk(() => handle.datasync()),
          close: async () => {
            await onDisk(() => handle.close());
          },
        };
      }),
    replace: (name, bytes) =>
      onDisk(async () => {
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
      }),
    truncate: (name, size) =>
      onDisk(async () => {
        await truncate(join(folder, name), size);
        const handle = await open(join(folder, name), 'r+');
        try {
          await handle.sync();
        } finally {
          await handle.close();
        }
      }),
    remove: (name) =>
      onDisk(async () => {
        await rm(join(folder, name), { force: true });
        await syncFolder(folder);
      }),
  };
};

const wireOver = (socket: Socket): RawConnection => {
  socket.setNoDelay(true);
  socket.on('error', () => {});
  return {
    remote: `${socket.remoteAddress ?? ''}:${socket.remotePort ?? 0}`,
    write: (bytes) => {
      if (!socket.destroyed) socket.write(bytes);
    },
    backlog: () => socket.writableLength,
    listen: (onBytes, onClose) => {
      socket.on('data', onBytes);
      socket.on('close', onClose);
      if (socket.destroyed) onClose();
    },
    close: () => void socket.destroy(),
  };
};

const realNet = (localHost: string | null): Net => ({
  dial: (address, timeoutMs) =>
    new Promise((resolve) => {
      const { host, port } = addresses.split(address);
      const socket = createConnection({ host, port, ...(localHost === null ? {} : { localAddress: localHost }) });
      const giveUp = (code: string): void => {
        socket.destroy();
        resolve(err({ kind: 'net', code, isUnsent: true }));
      };
      const timer = setTimeout(() => giveUp('ETIMEDOUT'), timeoutMs);
      socket.once('error', (cause) => {
        clearTimeout(timer);
        giveUp(codeOf(cause));
      });
      socket.once('connect', () => {
        clearTimeout(timer);
        resolve(ok(wireOver(socket)));
      });
    }),
  listen: (address, onWire) =>
    new Promise((resolve) => {
      const { host, port } = addresses.split(address);
      const sockets = new Set<Socket>();
      const server = createServer((socket) => {
        sockets.add(socket);
        socket.on('close', () => sockets.delete(socket));
        onWire(wireOver(socket));
      });
      const listener: Listener = {
        close: () =>
          new Promise((closed) => {
            server.close(() => closed());
            for (const socket of sockets) socket.destroy();
          }),
      };
      server.once('error', (cause) =>
        resolve(err({ kind: 'net', code: codeOf(cause), isUnsent: true } satisfies NetworkError)),
      );
      server.listen(port, host, () => resolve(ok(listener)));
    }),
});

const realClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, Math.max(0, delayMs));
    return { cancel: () => clearTimeout(timer) };
  },
};

const realRandom: Random = {
  fraction: () => Math.random(),
  token: (byteCount) => randomBytes(byteCount).toString('hex'),
};

const noDisk = (): Disk => {
  const refuse = async <T>(): Promise<Result<T, DiskError>> =>
    err({ kind: 'disk', code: 'NODATA', detail: 'this node has no data folder' });
  return { list: refuse, read: refuse, open: refuse, replace: refuse, truncate: refuse, remove: refuse };
};

export const machine = { clock: realClock, random: realRandom, net: realNet, disk: realDisk, noDisk };
