import { expect } from 'chai';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { carriages } from '@martenworks/upstream';
import type { CarriageReceipt, NetFault } from '@martenworks/core-types';
import type { Result } from 'neverthrow';

const opened = (
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<{ server: Server; url: string }> =>
  new Promise((settle) => {
    const server = createServer(handle);
    server.listen(0, '127.0.0.1', () =>
      settle({ server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/` }),
    );
  });

const closed = (server: Server): Promise<void> =>
  new Promise((settle) => {
    server.close(() => settle());
    server.closeAllConnections();
  });

const textOf = async (receipt: CarriageReceipt): Promise<string> => {
  const parts: Uint8Array[] = [];
  for await (const part of receipt.body) parts.push(part);
  return Buffer.concat(parts).toString('utf8');
};

const carriage = carriages.real(null);
const carry = (url: string, gate: () => boolean = () => true): Promise<Result<CarriageReceipt, NetFault>> =>
  carriage.carry({
    method: 'POST',
    url,
    headers: { 'content-type': 'text/plain' },
    body: 'a body',
    signal: new AbortController().signal,
    gate,
  });

describe('the carriage to back ends, over real sockets', () => {
  after(() => carriage.close());

  it('given a port that refuses, when a request is carried, then it is known to be unsent', async () => {
    const { server, url } = await opened(() => {});
    await closed(server);
    expect((await carry(url))._unsafeUnwrapErr()).to.deep.include({ code: 'ECONNREFUSED', isUnsent: true });
  });

  it('given a server that breaks off once the request came, when it is carried, then it is not held to be unsent', async () => {
    const { server, url } = await opened((request) => request.socket.destroy());
    expect((await carry(url))._unsafeUnwrapErr().isUnsent).to.equal(false);
    await closed(server);
  });

  it('given a pooled connection that the server closes as the next request arrives on it, when that is carried, then it is not held to be unsent, nor sent again', async () => {
    let count = 0;
    const { server, url } = await opened((request, response) => {
      count += 1;
      if (count === 1) {
        request.resume();
        response.end('first');
      } else request.socket.destroy();
    });
    expect(await textOf((await carry(url))._unsafeUnwrap())).to.equal('first');
    expect((await carry(url))._unsafeUnwrapErr().isUnsent).to.equal(false);
    expect(count).to.equal(2);
    await closed(server);
  });

  it('given a gate that is shut when the connection is there, when a request is carried, then no whole body leaves and it is known to be unsent', async () => {
    const wholes: string[] = [];
    const { server, url } = await opened((request, response) => {
      let text = '';
      request.on('data', (bytes: Buffer) => (text += bytes.toString()));
      request.on('end', () => {
        wholes.push(text);
        response.end('ok');
      });
    });
    expect((await carry(url, () => false))._unsafeUnwrapErr()).to.deep.include({ code: 'GATED', isUnsent: true });
    expect(await textOf((await carry(url))._unsafeUnwrap())).to.equal('ok');
    expect(wholes).to.deep.equal(['a body']);
    await closed(server);
  });
});
