import { expect } from 'chai';
import { ok } from 'neverthrow';
import { InvariantChecker, keyOf, sampleWorkload, SimFleet } from '@martenworks/test-fleet';
import type { SampleRequest } from '@martenworks/test-fleet';
import type { HttpClient, HttpClientResponse, Ports } from '@martenworks/core-types';

const weights = 'weights-1';
/** First attempts that earn the budget of one retry. */
const requestsPerRetry = 20;
const words = ['one ', 'two ', 'three'];

const frame = (runId: string, text: string, isLast: boolean): string => {
  const chunk = { id: runId, model: weights, choices: [{ index: 0, text, finish_reason: isLast ? 'stop' : null }] };
  return `data: ${JSON.stringify(chunk)}\n\n`;
};

const endMarker = 'data: [DONE]\n\n';
const textOf = (runId: string): string => words.map((word) => `${runId}:${word}`).join('');
const framesOf = (runId: string): string[] =>
  words.map((word, at) => frame(runId, `${runId}:${word}`, at === words.length - 1));

/** What a replica sends of its response before it breaks off. */
const sentParts = {
  nothing: '',
  'a part of an event': framesOf('first')[0]?.slice(0, -3) ?? '',
  'one event': framesOf('first')[0] ?? '',
  'one event and a part of the next': framesOf('first').join('').slice(0, -9),
  'all events without the end marker': framesOf('first').join(''),
  'a part of the end marker': `${framesOf('first').join('')}${endMarker.slice(0, -1)}`,
  'the end marker before the last event': `${framesOf('first')[0]}${endMarker}`,
  'one event and one of another run': `${framesOf('first')[0]}${framesOf('other')[1]}`,
  'one event and a failure': `${framesOf('first')[0]}data: {"error":{"type":"fault"}}\n\n`,
} as const;
type SentPart = keyof typeof sentParts;
/** The parts that hold no whole event, after which another replica may still be asked. */
const partsWithoutEvent: ReadonlySet<SentPart> = new Set(['nothing', 'a part of an event']);

type Call = ReturnType<InvariantChecker['send']>;

interface ReplicaReply {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  readonly isBroken: boolean;
}

const wholeReply = (runId: string): ReplicaReply => ({
  status: 200,
  contentType: 'text/event-stream',
  body: `${framesOf(runId).join('')}${endMarker}`,
  isBroken: false,
});

const responseOf = ({ status, contentType, body, isBroken }: ReplicaReply): HttpClientResponse => ({
  status,
  headers: () => ['content-type', contentType],
  header: (name) => (name === 'content-type' ? contentType : null),
  body: (async function* () {
    if (body.length > 0) yield Buffer.from(body);
    if (isBroken) throw Object.assign(new Error('connection reset'), { code: 'ECONNRESET' });
  })(),
});

/** Answers completions in place of the replicas: the first attempt of a request by `first`, the others as a whole. */
class ScriptedReplicas {
  /** Attempts since the first response was armed. */
  attempts = 0;
  isArmed = false;

  constructor(private readonly first: ReplicaReply) {}

  readonly portsFor = (role: 'gateway' | 'control', ports: Ports): Ports =>
    role === 'control' ? ports : { ...ports, httpClient: { ...ports.httpClient, send: this.sendBy(ports.httpClient) } };

  private readonly sendBy =
    (client: HttpClient): HttpClient['send'] =>
    async (request) => {
      if (!request.url.endsWith('/v1/completions')) return client.send(request);
      if (!request.gate()) return client.send(request);
      if (!this.isArmed) return ok(responseOf(wholeReply('warm-up')));
      this.attempts += 1;
      return ok(responseOf(this.attempts === 1 ? this.first : wholeReply('second')));
    };
}

const observe = async (
  first: ReplicaReply,
  kind: SampleRequest['kind'],
  isBuffered: boolean,
): Promise<{ call: Call; attempts: number }> => {
  const replicas = new ScriptedReplicas(first);
  const fleet = new SimFleet({ seed: 5, gatewayCount: 1, replicaCount: 3, portsFor: replicas.portsFor });
  await fleet.up();
  const checker = new InvariantChecker(fleet);
  const sample = { ...sampleWorkload.request(fleet.world.random, 1), tenant: 'north', key: keyOf('north') };
  const send = (kind: SampleRequest['kind']): Call =>
    checker.send({ ...sample, kind, prompt: 'hello', maxTokens: 8 }, 0, { isBuffered });
  const warmUps = Array.from({ length: requestsPerRetry }, () => send('query'));
  await fleet.world.until('the first calls', () => warmUps.every(({ endedAt }) => endedAt > 0), 30_000);
  replicas.isArmed = true;
  const call = send(kind);
  await fleet.world.until('the end of the call', () => call.endedAt > 0, 30_000);
  return { call, attempts: replicas.attempts };
};

const outcomeOf = ({ call, attempts }: { call: Call; attempts: number }): readonly unknown[] => [
  call.outcome,
  call.status,
  call.text,
  attempts,
];

/** Requests that may run again, and such that must not. */
const kinds = ['query', 'confirm'] as const;
const modes = [
  ['streamed', false],
  ['collected', true],
] as const;

describe('a response of a replica that breaks off, at a gateway', () => {
  // Guards against a caller that gets bytes of two runs, or a truncated completion that looks complete.
  for (const kind of kinds)
    for (const [mode, isBuffered] of modes)
      for (const [part, body] of Object.entries(sentParts) as [SentPart, string][])
        it(`given a ${mode} ${kind} request, when its replica breaks off after ${part}, by a reset or by its end, then the caller gets one run's bytes, and what is truncated does not look complete`, async () => {
          for (const isBroken of [true, false]) {
            const reply: ReplicaReply = { status: 200, contentType: 'text/event-stream', body, isBroken };
            const observation = await observe(reply, kind, isBuffered);
            const mayRetry = partsWithoutEvent.has(part);
            if (mayRetry && kind === 'query')
              expect(outcomeOf(observation)).to.deep.equal(['whole', 200, textOf('second'), 2]);
            else if (mayRetry || isBuffered) expect(outcomeOf(observation)).to.deep.equal(['denied', 502, '', 1]);
            else {
              expect(textOf('first').startsWith(observation.call.text)).to.equal(true);
              expect(observation.call.outcome).to.equal('cut');
              expect(observation.attempts).to.equal(1);
            }
          }
        });

  for (const kind of kinds)
    for (const [mode, isBuffered] of modes)
      for (const [status, contentType] of [
        [201, 'text/event-stream'],
        [204, 'text/event-stream'],
        [302, 'text/event-stream'],
        [409, 'text/event-stream'],
        [500, 'text/event-stream'],
        [503, 'text/event-stream'],
        [200, 'application/json'],
      ] as const)
        it(`given a ${mode} ${kind} request, when its replica answers ${status} with ${contentType}, whole or broken off, then nothing of it reaches the caller`, async () => {
          for (const isBroken of [true, false]) {
            const body = `${framesOf('first').join('')}${endMarker}`;
            const observation = await observe({ status, contentType, body, isBroken }, kind, isBuffered);
            expect(outcomeOf(observation)).to.deep.equal(
              kind === 'query' ? ['whole', 200, textOf('second'), 2] : ['denied', 502, '', 1],
            );
          }
        });

  for (const [mode, isBuffered] of modes)
    it(`given a ${mode} request, when its replica breaks off behind the end marker, then the completion is whole`, async () => {
      const observation = await observe({ ...wholeReply('first'), isBroken: true }, 'confirm', isBuffered);
      expect(outcomeOf(observation)).to.deep.equal(['whole', 200, textOf('first'), 1]);
    });

  // Guards against a completion that looks complete and lacks a part: only the first line of an event's data was relayed.
  for (const [mode, isBuffered] of modes)
    it(`given a ${mode} request, when its replica writes an event's data in several lines, then the caller gets all of them`, async () => {
      const [first = '', ...others] = framesOf('first');
      const lines = first.replace('"choices"', '\ndata: "choices"');
      const reply = { ...wholeReply('first'), body: `${lines}${others.join('')}${endMarker}` };
      expect(outcomeOf(await observe(reply, 'confirm', isBuffered))).to.deep.equal(['whole', 200, textOf('first'), 1]);
    });

  // Guards against a completion of several choices that ends as complete though one of them has not finished.
  for (const [mode, isBuffered] of modes)
    it(`given a ${mode} request, when its replica ends a stream of two choices after one has finished, then the caller does not get it as complete`, async () => {
      const choice = (index: number, isLast: boolean): string =>
        frame('first', `text ${index}`, isLast).replace('"index":0', `"index":${index}`);
      const body = `${choice(0, false)}${choice(1, false)}${choice(0, true)}`;
      const unfinished = await observe({ ...wholeReply('first'), body: `${body}${endMarker}` }, 'confirm', isBuffered);
      expect([unfinished.call.outcome, unfinished.attempts]).to.deep.equal([isBuffered ? 'denied' : 'cut', 1]);
      const whole = `${body}${choice(1, true)}${endMarker}`;
      const finished = await observe({ ...wholeReply('first'), body: whole }, 'confirm', isBuffered);
      expect([finished.call.outcome, finished.attempts]).to.deep.equal(['whole', 1]);
    });
});
