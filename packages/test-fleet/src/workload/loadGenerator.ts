/** Sends open-loop traffic to a fleet of real processes, and checks the text of every response. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import { generatedText } from '../replica/generatedText.js';
import { CompletionStream, completionBodies } from './completionResponse.js';
import { quantile } from './quantile.js';
import { sampleWorkload, seededRandom } from './sampleDeployments.js';
import type { SampleRequest } from './sampleDeployments.js';

const connectionsPerHost = 64;
const msPerSecond = 1_000;
const minWaitMs = 1;
const maxRequestsPerSeed = 1_000_000;
const appWeights = 'app-1';
const groupColumnWidth = 18;

/** How a request ended: `cut` is a truncated response, `wrong` an unexpected text, `broken` no response at all. */
type Ending = 'whole' | 'denied' | 'cut' | 'wrong' | 'broken';

/** One request and its result. Times are milliseconds of the local monotonic clock. */
export interface Outcome {
  readonly kind: SampleRequest['kind'];
  readonly tier: string;
  /** The HTTP status; 0 if there was no response. */
  readonly status: number;
  /** The error code of a rejection or of a network error; empty if there is none. */
  readonly code: string;
  readonly ran: string;
  readonly outcome: Ending;
  /** Time to the first token; 0 if there was none. */
  readonly firstMs: number;
  readonly totalMs: number;
  readonly requestId: string;
  readonly sentAt: number;
  readonly runId: string;
}

/** The requests to send: their targets, rate and duration. */
export interface LoadPlan {
  readonly hosts: readonly string[];
  readonly ratePerSecond: number;
  readonly seconds: number;
  readonly seed: number;
  /** Returns the weights that replicas may use at this time. */
  readonly weights: () => readonly string[];
  /** The share of requests with long prompts. */
  readonly longShare?: number;
}

type Result = Pick<Outcome, 'status' | 'outcome'> & Partial<Pick<Outcome, 'code' | 'ran' | 'firstMs' | 'runId'>>;

const codeOf = (cause: unknown): string => (cause instanceof Error && 'code' in cause ? String(cause.code) : 'UNKNOWN');

const post = (agent: Agent, host: string, sample: SampleRequest, requestId: string): Promise<Dispatcher.ResponseData> =>
  request(`http://${host}:7101/v1/completions`, {
    dispatcher: agent,
    method: 'POST',
    headers: { 'content-type': 'application/json', authorization: `Bearer ${sample.key}`, 'x-request-id': requestId },
    body: JSON.stringify({ model: sample.kind, prompt: sample.prompt, max_tokens: sample.maxTokens, stream: true }),
  });

const readStream = async (
  body: AsyncIterable<Uint8Array>,
  sample: SampleRequest,
  weights: readonly string[],
  sentAt: number,
): Promise<Result> => {
  let firstMs = 0;
  const stream = new CompletionStream(() => {
    if (firstMs === 0) firstMs = performance.now() - sentAt;
  });
  let isBroken = false;
  try {
    for await (const bytes of body) stream.feed(bytes);
  } catch {
    isBroken = true;
  }
  const { runId, text, isEnded, error } = stream;
  if (isBroken || !isEnded) return { status: 200, outcome: 'cut', code: 'cut', ran: 'unknown', firstMs, runId };
  if (error !== null) return { status: 200, outcome: 'wrong', code: 'cut', ran: 'unknown', firstMs, runId };
  const isExpected = [...weights, appWeights].some(
    (name) => generatedText.fullText(sample.prompt, name, runId, sample.maxTokens) === text,
  );
  return { status: 200, outcome: isExpected ? 'whole' : 'wrong', firstMs, runId };
};

const send = async (
  agent: Agent,
  host: string,
  sample: SampleRequest,
  requestId: string,
  plan: LoadPlan,
): Promise<Outcome> => {
  const sentAt = performance.now();
  const resultOf = async (): Promise<Result> => {
    const { statusCode, body } = await post(agent, host, sample, requestId);
    if (statusCode === 200) return readStream(body, sample, plan.weights(), sentAt);
    const { type, ran } = completionBodies.error(await body.text());
    return { status: statusCode, outcome: 'denied', code: type, ran };
  };
  const result = await resultOf().catch(
    (cause: unknown): Result => ({ status: 0, outcome: 'broken', code: codeOf(cause) }),
  );
  const { kind, tier } = sample;
  const totalMs = performance.now() - sentAt;
  return { code: '', ran: '', firstMs: 0, runId: '', ...result, kind, tier, totalMs, requestId, sentAt };
};

/** Sends requests with Poisson arrivals, independent of the responses, and resolves once every request has ended. */
export const generateLoad = async (plan: LoadPlan): Promise<Outcome[]> => {
  const agent = new Agent({ connections: connectionsPerHost, pipelining: 1 });
  const random = seededRandom(plan.seed);
  const count = Math.floor(plan.ratePerSecond * plan.seconds);
  const startedAt = performance.now();
  const pending: Promise<Outcome>[] = [];
  let arrivalMs = 0;
  for (let at = 0; at < count; at += 1) {
    arrivalMs += (-Math.log(1 - random()) * msPerSecond) / plan.ratePerSecond;
    const sample = sampleWorkload.request(random, plan.seed * maxRequestsPerSeed + at, plan.longShare);
    const host = plan.hosts[Math.floor(random() * plan.hosts.length)] as string;
    const waitMs = arrivalMs - (performance.now() - startedAt);
    if (waitMs > minWaitMs) await sleep(waitMs);
    pending.push(send(agent, host, sample, `load-${plan.seed}-${at}`, plan));
  }
  const outcomes = await Promise.all(pending);
  await agent.close();
  return outcomes;
};

const oneDecimal = (value: number): number => Math.round(value * 10) / 10;

const quantiles = (times: readonly number[], shares: readonly number[]): string => {
  const sorted = [...times].sort((a, b) => a - b);
  return shares.map((share) => `p${share * 100}=${oneDecimal(quantile(sorted, share))}`).join(' ');
};

const line = (group: string, outcomes: readonly Outcome[]): string => {
  const complete = outcomes.filter(({ outcome }) => outcome === 'whole');
  const first = quantiles(
    complete.map(({ firstMs }) => firstMs),
    [0.5, 0.95, 0.99],
  );
  const total = quantiles(
    complete.map(({ totalMs }) => totalMs),
    [0.5, 0.99],
  );
  return `${group.padEnd(groupColumnWidth)} n=${outcomes.length} whole=${complete.length} first ${first} total ${total}`;
};

const lines = (outcomes: readonly Outcome[]): string[] => {
  const groups = new Map<string, Outcome[]>();
  for (const outcome of outcomes) {
    const group = `${outcome.kind}/${outcome.tier}`;
    groups.set(group, [...(groups.get(group) ?? []), outcome]);
  }
  return [...groups].sort(([a], [b]) => (a < b ? -1 : 1)).map(([group, some]) => line(group, some));
};

const endingOf = ({ outcome, status, code, ran }: Outcome): string => {
  if (outcome === 'denied') return `denied ${status} ${code} ran=${ran}`;
  return code === '' ? outcome : `${outcome} ${code}`;
};

const counts = (outcomes: readonly Outcome[]): Record<string, number> => {
  const totals: Record<string, number> = {};
  for (const outcome of outcomes) {
    const ending = endingOf(outcome);
    totals[ending] = (totals[ending] ?? 0) + 1;
  }
  return totals;
};

/** `lines` returns latencies in milliseconds by kind and tier, `counts` the number of requests by ending. */
export const summaries = { lines, counts };
