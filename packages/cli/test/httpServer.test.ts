import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { boundedHttpServers } from '@martenworks/cli';
import { processLimits } from '@martenworks/server-limits';

const port = 8_080;
const pageBytes = 60_000;
const limits = processLimits.of({ memoryMb: 16, openFiles: 64 });

/** Runs a scenario against a server for operators with one large page; `served` counts its requests. */
const withServer = async (host: string, scenario: (served: () => number) => Promise<void>): Promise<void> => {
  let count = 0;
  const handler = (): Response => {
    count += 1;
    return new Response('p'.repeat(pageBytes));
  };
  const listener = (await boundedHttpServers.forOperators(limits).open(`${host}:${port}`, handler))._unsafeUnwrap();
  try {
    await scenario(() => count);
  } finally {
    await listener.close();
  }
};

const open = (host: string): ReturnType<typeof connect> => {
  const socket = connect({ host, port });
  socket.on('error', () => {});
  return socket;
};

const until = async (test: () => boolean): Promise<void> => {
  while (!test()) await sleep(10);
};

describe('the HTTP server for operators', function () {
  this.timeout(30_000);

  it('given a client that sends requests ahead and reads nothing, when there are more than it may have, then its connection is closed', async () => {
    const host = '127.77.41.1';
    await withServer(host, async (served) => {
      const socket = open(host);
      socket.pause();
      let isClosed = false;
      socket.on('close', () => {
        isClosed = true;
      });
      socket.write('GET /status HTTP/1.1\r\nHost: operators\r\n\r\n'.repeat(200));
      await sleep(500);
      socket.resume();
      await until(() => isClosed);
      expect(served()).to.be.at.most(4);
    });
  });

  it('given more silent connections than it may have, when an operator asks, then the page is served', async () => {
    const host = '127.77.41.2';
    await withServer(host, async () => {
      const silent = Array.from({ length: limits.operatorConnections + 10 }, () => open(host));
      await until(() => silent.filter((socket) => socket.destroyed).length >= 10);
      const response = await fetch(`http://${host}:${port}/status`);
      expect([response.status, (await response.text()).length]).to.deep.equal([200, pageBytes]);
      for (const socket of silent) socket.destroy();
    });
  });
});
