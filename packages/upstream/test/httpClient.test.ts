import { expect } from 'chai';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { httpClients } from '@martenworks/upstream';
import type { HttpClientResponse, NetworkError } from '@martenworks/core-types';
import type { Result } from 'neverthrow';

const opened = (
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<{ server: Server; url: string }> =>
  new Promise((resolve) => {
    const server = createServer(handle);
    server.listen(0, '127.0.0.1', () =>
      resolve({ server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/` }),
    );
  });

const closed = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });

const textOf = async (response: HttpClientResponse): Promise<string> => {
  const parts: Uint8Array[] = [];
  for await (const part of response.body) parts.push(part);
  return Buffer.concat(parts).toString('utf8');
};

const httpClient = httpClients.real(null);
const ask = (
  method: string,
  url: string,
  more: { body?: string | null; gate?: () => boolean; accepts?: () => boolean } = {},
): Promise<Result<HttpClientResponse, NetworkError>> =>
  httpClient.send({
    method,
    url,
    headers: {},
    body: more.body ?? null,
    signal: new AbortController().signal,
    gate: more.gate ?? (() => true),
    ...(more.accepts === undefined ? {} : { accepts: more.accepts }),
  });
const carry = (url: string, gate: () => boolean = () => true): Promise<Result<HttpClientResponse, NetworkError>> =>
  httpClient.send({
    method: 'POST',
    url,
    headers: { 'content-type': 'text/plain' },
    body: 'a body',
    signal: new AbortController().signal,
    gate,
  });

describe('the carriage to back ends, over real sockets', () => {
  after(() => httpClient.close());

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

  for (const body of [null, 'a body'])
    it(`given a gate that is shut, when a request ${body === null ? 'without' : 'with'} a body is carried, then the server gets no byte of it and it is known to be unsent`, async () => {
      const { server, url } = await opened((_, response) => response.end('ok'));
      let bytesRead = 0;
      server.on('connection', (socket) => socket.on('close', () => (bytesRead += socket.bytesRead)));
      expect((await ask('PUT', url, { body, gate: () => false }))._unsafeUnwrapErr()).to.deep.include({
        code: 'GATED',
        isUnsent: true,
      });
      await closed(server);
      expect(bytesRead).to.equal(0);
    });

  it('given a port that refuses, when a request without a body is carried, then its gate is not asked, since it is asked only as the first byte is to be written', async () => {
    const { server, url } = await opened(() => {});
    await closed(server);
    let asked = 0;
    const gate = (): boolean => ++asked > 0;
    expect((await ask('GET', url, { gate }))._unsafeUnwrapErr()).to.deep.include({ isUnsent: true });
    expect(asked).to.equal(0);
  });

  for (const method of ['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'])
    it(`given a kept connection that is reset as a ${method} without a body arrives, when it is carried, then the library does not send it again and it may have run`, async () => {
      const methods: string[] = [];
      const { server, url } = await opened((request, response) => {
        methods.push(request.method ?? '');
        if (methods.length === 1) response.end('first');
        else request.socket.resetAndDestroy();
      });
      let asked = 0;
      expect(await textOf((await ask('POST', url))._unsafeUnwrap())).to.equal('first');
      expect((await ask(method, url, { gate: () => ++asked > 0 }))._unsafeUnwrapErr().isUnsent).to.equal(false);
      expect([methods, asked]).to.deep.equal([['POST', method], 1]);
      await closed(server);
    });

  it('given an answer whose head is not accepted, when the next request is carried, then the connection that brought it is not used again', async () => {
    const sockets: unknown[] = [];
    const { server, url } = await opened((request, response) => {
      sockets.push(request.socket);
      response.end('whole');
    });
    expect((await ask('GET', url, { accepts: () => false }))._unsafeUnwrapErr()).to.deep.include({
      code: 'HEAD_REFUSED',
      isUnsent: false,
    });
    expect(await textOf((await ask('GET', url))._unsafeUnwrap())).to.equal('whole');
    expect(new Set(sockets).size).to.equal(2);
    await closed(server);
  });
});
