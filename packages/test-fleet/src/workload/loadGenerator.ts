import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { CompletionStream, completionBodies } from './completionResponse.js';
import { sampleWorkload, seeded } from './sampleDeployments.js';
import type { SampleRequest } from './sampleDeployments.js';
import { generatedText } from '../replica/emulatedReplica.js';

export interface Outcome {
  readonly kind: SampleRequest['kind'];
  readonly tier: string;
  readonly status: number;
  readonly code: string;
  readonly ran: string;
  readonly outcome: 'whole' | 'denied' | 'cut' | 'wrong' | 'broken';
  readonly firstMs: number;
  readonly totalMs: number;
  readonly requestId: string;
  readonly sentAt: number;
  readonly runId: string;
}

export interface LoadPlan {
  readonly hosts: readonly string[];
  readonly ratePerSecond: number;
  readonly seconds: number;
  readonly seed: number;
  readonly weights: () => readonly string[];
  readonly longShare?: number;
}

const sendOne = async (
  agent: Agent,
  host: string,
  sample: SampleRequest,
  requestId: string,
  weights: () => readonly string[],
): Promise<Outcome> => {
  const begin = performance.now();
  let runId = '';
  const done = (status: number, outcome: Outcome['outcome'], code = '', ran = '', firstMs = 0): Outcome => ({
    kind: sample.kind,
    tier: sample.tier,
    status,
    code,
    ran,
    outcome,
    firstMs,
    totalMs: performance.now() - begin,
    requestId,
    sentAt: begin,
    runId,
  });
  try {
    const response = await request(`http://${host}:7101/v1/completions`, {
      dispatcher: agent,
      method: 'POST',
      headers: { 'content-type': 'application/json', authorization: `Bearer ${sample.key}`, 'x-request-id': requestId },
      body: JSON.stringify({ model: sample.kind, prompt: sample.prompt, max_tokens: sample.maxTokens, stream: true }),
    });
    if (response.statusCode !== 200) {
      const error = completionBodies.error(await response.body.text());
      return done(response.statusCode, 'denied', error.type, error.ran);
    }
    let firstMs = 0;
    const stream = new CompletionStream(() => {
      if (firstMs === 0) firstMs = performance.now() - begin;
      runId = stream.runId;
    });
    try {
      for await (const bytes of response.body) stream.feed(bytes as Uint8Array);
    } catch {
      return done(200, 'cut', 'cut', 'unknown', firstMs);
    }
    if (!stream.isEnded || stream.error !== null)
      return done(200, stream.isEnded ? 'wrong' : 'cut', 'cut', 'unknown', firstMs);
    const isRight = [...weights(), 'app-1'].some(
      (name) => generatedText.whole(sample.prompt, name, stream.runId, sample.maxTokens) === stream.text,
    );
    return done(200, isRight ? 'whole' : 'wrong', '', '', firstMs);
  } catch (cause) {
    return done(0, 'broken', (cause as { code?: string }).code ?? 'UNKNOWN');
  }
};

export const generateLoad = async (plan: LoadPlan): Promise<Outcome[]> => {
  const agent = new Agent({ connections: 64, pipelining: 1 });
  const random = seeded(plan.seed);
  const count = Math.floor(plan.ratePerSecond * plan.seconds);
  const begin = performance.now();
  const pending: Promise<Outcome>[] = [];
  let dueMs = 0;
  for (let at = 0; at < count; at += 1) {
    dueMs += (-Math.log(1 - random()) * 1000) / plan.ratePerSecond;
    const sample = sampleWorkload.request(random, plan.seed * 1_000_000 + at, plan.longShare);
    const host = plan.hosts[Math.floor(random() * plan.hosts.length)] as string;
    const waitMs = dueMs - (performance.now() - begin);
    if (waitMs > 1) await sleep(waitMs);
    pending.push(sendOne(agent, host, sample, `load-${plan.seed}-${at}`, plan.weights));
  }
  const outcomes = await Promise.all(pending);
  await agent.close();
  return outcomes;
};

const quantile = (sorted: readonly number[], share: number): number =>
  Math.round((sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0) * 10) / 10;

export const summaries = {
  lines: (outcomes: readonly Outcome[]): string[] => {
    const groups = new Map<string, Outcome[]>();
    for (const outcome of outcomes) {
      const key = `${outcome.kind}/${outcome.tier}`;
      groups.set(key, [...(groups.get(key) ?? []), outcome]);
    }
    return [...groups]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, some]) => {
        const whole = some.filter((outcome) => outcome.outcome === 'whole');
        const first = whole.map((outcome) => outcome.firstMs).sort((a, b) => a - b);
        const total = whole.map((outcome) => outcome.totalMs).sort((a, b) => a - b);
        return `${key.padEnd(18)} n=${some.length} whole=${whole.length} first p50=${quantile(first, 0.5)} p95=${quantile(first, 0.95)} p99=${quantile(first, 0.99)} total p50=${quantile(total, 0.5)} p99=${quantile(total, 0.99)}`;
      });
  },
  verdicts: (outcomes: readonly Outcome[]): Record<string, number> => {
    const counts: Record<string, number> = {};
    for (const outcome of outcomes) {
      const key =
        outcome.outcome === 'denied'
          ? `denied ${outcome.status} ${outcome.code} ran=${outcome.ran}`
          : `${outcome.outcome}${outcome.code === '' ? '' : ` ${outcome.code}`}`;
      counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
  },
};
