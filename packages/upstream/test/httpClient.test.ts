import { expect } from 'chai';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { httpClients } from '@martenworks/upstream';
import type { HttpClientResponse, NetworkError } from '@martenworks/core-types';
import type { Result } from 'neverthrow';

const openServer = (
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<{ server: Server; url: string }> =>
  new Promise((resolve) => {
    const server = createServer(handle);
    server.listen(0, '127.0.0.1', () =>
      resolve({ server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/` }),
    );
  });

const closeServer = (server: Server): Promise<void> =>
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
const sendRequest = (
  method: string,
  url: string,
  options: { body?: string | null; gate?: () => boolean; accepts?: () => boolean } = {},
): Promise<Result<HttpClientResponse, NetworkError>> =>
  httpClient.send({
    method,
    url,
    headers: {},
    body: options.body ?? null,
    signal: new AbortController().signal,
    gate: options.gate ?? (() => true),
    ...(options.accepts === undefined ? {} : { accepts: options.accepts }),
  });
const sendText = (url: string, gate: () => boolean = () => true): Promise<Result<HttpClientResponse, NetworkError>> =>
  httpClient.send({
    method: 'POST',
    url,
    headers: { 'content-type': 'text/plain' },
    body: 'a body',
    signal: new AbortController().signal,
    gate,
  });

describe('the HTTP client on real sockets', () => {
  after(() => httpClient.close());

  it('given a port that refuses connections, when a request is sent, then it is reported as unsent', async () => {
    const { server, url } = await openServer(() => {});
    await closeServer(server);
    expect((await sendText(url))._unsafeUnwrapErr()).to.deep.include({ code: 'ECONNREFUSED', isUnsent: true });
  });

  it('given a server that closes the connection when the request arrives, when a request is sent, then it is not reported as unsent', async () => {
    const { server, url } = await openServer((request) => request.socket.destroy());
    expect((await sendText(url))._unsafeUnwrapErr().isUnsent).to.equal(false);
    await closeServer(server);
  });

  it('given a pooled connection that the server closes when the next request arrives, when that request is sent, then it is neither reported as unsent nor sent again', async () => {
    let requestCount = 0;
    const { server, url } = await openServer((request, response) => {
      requestCount += 1;
      if (requestCount === 1) {
        request.resume();
        response.end('first');
      } else request.socket.destroy();
    });
    expect(await textOf((await sendText(url))._unsafeUnwrap())).to.equal('first');
    expect((await sendText(url))._unsafeUnwrapErr().isUnsent).to.equal(false);
    expect(requestCount).to.equal(2);
    await closeServer(server);
  });

  it('given a gate that returns false once the connection is open, when a request is sent, then no full body is received and it is reported as unsent', async () => {
    const receivedBodies: string[] = [];
    const { server, url } = await openServer((request, response) => {
      let text = '';
      request.on('data', (bytes: Buffer) => (text += bytes.toString()));
      request.on('end', () => {
        receivedBodies.push(text);
        response.end('ok');
      });
    });
    expect((await sendText(url, () => false))._unsafeUnwrapErr()).to.deep.include({ code: 'GATED', isUnsent: true });
    expect(await textOf((await sendText(url))._unsafeUnwrap())).to.equal('ok');
    expect(receivedBodies).to.deep.equal(['a body']);
    await closeServer(server);
  });

  for (const body of [null, 'a body'])
    it(`given a gate that returns false, when a request ${body === null ? 'without' : 'with'} a body is sent, then the server receives no byte and it is reported as unsent`, async () => {
      const { server, url } = await openServer((_, response) => response.end('ok'));
      let bytesRead = 0;
      server.on('connection', (socket) => socket.on('close', () => (bytesRead += socket.bytesRead)));
      expect((await sendRequest('PUT', url, { body, gate: () => false }))._unsafeUnwrapErr()).to.deep.include({
        code: 'GATED',
        isUnsent: true,
      });
      await closeServer(server);
      expect(bytesRead).to.equal(0);
    });

  it('given a port that refuses connections, when a request without a body is sent, then its gate is not called, as no byte is written', async () => {
    const { server, url } = await openServer(() => {});
    await closeServer(server);
    let gateCalls = 0;
    const gate = (): boolean => ++gateCalls > 0;
    expect((await sendRequest('GET', url, { gate }))._unsafeUnwrapErr()).to.deep.include({ isUnsent: true });
    expect(gateCalls).to.equal(0);
  });

  for (const method of ['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'])
    it(`given a keep-alive connection that is reset when a ${method} without a body arrives, when the request is sent, then undici does not retry it and it is not reported as unsent`, async () => {
      const methods: string[] = [];
      const { server, url } = await openServer((request, response) => {
        methods.push(request.method ?? '');
        if (methods.length === 1) response.end('first');
        else request.socket.resetAndDestroy();
      });
      let gateCalls = 0;
      expect(await textOf((await sendRequest('POST', url))._unsafeUnwrap())).to.equal('first');
      expect((await sendRequest(method, url, { gate: () => ++gateCalls > 0 }))._unsafeUnwrapErr().isUnsent).to.equal(
        false,
      );
      expect([methods, gateCalls]).to.deep.equal([['POST', method], 1]);
      await closeServer(server);
    });

  it('given a response whose head is not accepted, when the next request is sent, then its connection is not reused', async () => {
    const sockets: unknown[] = [];
    const { server, url } = await openServer((request, response) => {
      sockets.push(request.socket);
      response.end('whole');
    });
    expect((await sendRequest('GET', url, { accepts: () => false }))._unsafeUnwrapErr()).to.deep.include({
      code: 'HEAD_REFUSED',
      isUnsent: false,
    });
    expect(await textOf((await sendRequest('GET', url))._unsafeUnwrap())).to.equal('whole');
    expect(new Set(sockets).size).to.equal(2);
    await closeServer(server);
  });
});
