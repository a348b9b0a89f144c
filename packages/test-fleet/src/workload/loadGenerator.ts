import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { createParser } from 'eventsource-parser';
import { plans, seeded } from './sampleDeployments.js';
import type { Ask } from './sampleDeployments.js';
import { speech } from '../replica/emulatedReplica.js';

export interface Outcome {
  readonly kind: Ask['kind'];
  readonly tier: string;
  readonly status: number;
  readonly code: string;
  readonly ran: string;
  readonly verdict: 'whole' | 'denied' | 'cut' | 'wrong' | 'broken';
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

const one = async (
  agent: Agent,
  host: string,
  ask: Ask,
  requestId: string,
  weights: () => readonly string[],
): Promise<Outcome> => {
  const begin = performance.now();
  let runId = '';
  const done = (status: number, verdict: Outcome['verdict'], code = '', ran = '', firstMs = 0): Outcome => ({
    kind: ask.kind,
    tier: ask.tier,
    status,
    code,
    ran,
    verdict,
    firstMs,
    totalMs: performance.now() - begin,
    requestId,
    sentAt: begin,
    runId,
  });
  try {
    const receipt = await request(`http://${host}:7101/v1/completions`, {
      dispatcher: agent,
      method: 'POST',
      headers: { 'content-type': 'application/json', authorization: `Bearer ${ask.key}`, 'x-request-id': requestId },
      body: JSON.stringify({ model: ask.kind, prompt: ask.prompt, max_tokens: ask.maxTokens, stream: true }),
    });
    if (receipt.statusCode !== 200) {
      const body = JSON.parse(await receipt.body.text()) as { error?: { type?: string; ran?: string } };
      return done(receipt.statusCode, 'denied', body.error?.type, body.error?.ran);
    }
    let said = '';
    let isEnded = false;
    let isError = false;
    let firstMs = 0;
    const parser = createParser({
      onEvent: (event) => {
        if (event.event === 'error') isError = true;
        else if (event.data === '[DONE]') isEnded = true;
        else {
          if (firstMs === 0) firstMs = performance.now() - begin;
          const chunk = JSON.parse(event.data) as { id: string; choices: { text: string }[] };
          if (runId === '') runId = chunk.id;
          said += chunk.choices[0]?.text ?? '';
        }
      },
    });
    const decoder = new TextDecoder();
    try {
      for await (const bytes of receipt.body) parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
    } catch {
      return done(200, 'cut', 'cut', 'unknown', firstMs);
    }
    if (!isEnded || isError) return done(200, isEnded ? 'wrong' : 'cut', 'cut', 'unknown', firstMs);
    const isRight = [...weights(), 'app-1'].some((one) => speech.whole(ask.prompt, one, runId, ask.maxTokens) === said);
    return done(200, isRight ? 'whole' : 'wrong', '', '', firstMs);
  } catch (cause) {
    return done(0, 'broken', (cause as { code?: string }).code ?? 'UNKNOWN');
  }
};

export const load = async (plan: LoadPlan): Promise<Outcome[]> => {
  const agent = new Agent({ connections: 64, pipelining: 1 });
  const random = seeded(plan.seed);
  const count = Math.floor(plan.ratePerSecond * plan.seconds);
  const begin = performance.now();
  const under: Promise<Outcome>[] = [];
  let dueMs = 0;
  for (let at = 0; at < count; at += 1) {
    dueMs += (-Math.log(1 - random()) * 1000) / plan.ratePerSecond;
    const ask = plans.ask(random, plan.seed * 1_000_000 + at, plan.longShare);
    const host = plan.hosts[Math.floor(random() * plan.hosts.length)] as string;
    const waitMs = dueMs - (performance.now() - begin);
    if (waitMs > 1) await sleep(waitMs);
    under.push(one(agent, host, ask, `load-${plan.seed}-${at}`, plan.weights));
  }
  const outcomes = await Promise.all(under);
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
        const whole = some.filter((outcome) => outcome.verdict === 'whole');
        const first = whole.map((outcome) => outcome.firstMs).sort((a, b) => a - b);
        const total = whole.map((outcome) => outcome.totalMs).sort((a, b) => a - b);
        return `${key.padEnd(18)} n=${some.length} whole=${whole.length} first p50=${quantile(first, 0.5)} p95=${quantile(first, 0.95)} p99=${quantile(first, 0.99)} total p50=${quantile(total, 0.5)} p99=${quantile(total, 0.99)}`;
      });
  },
  verdicts: (outcomes: readonly Outcome[]): Record<string, number> => {
    const counts: Record<string, number> = {};
    for (const outcome of outcomes) {
      const key =
        outcome.verdict === 'denied'
          ? `denied ${outcome.status} ${outcome.code} ran=${outcome.ran}`
          : `${outcome.verdict}${outcome.code === '' ? '' : ` ${outcome.code}`}`;
      counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
  },
};
