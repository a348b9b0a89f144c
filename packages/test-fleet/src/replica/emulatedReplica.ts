import { createHash } from 'node:crypto';
import { Hono } from 'hono';
import { pause, prompts } from '@martenworks/core-types';
import type { HttpClient, Clock } from '@martenworks/core-types';

export interface EmulatedReplicaSettings {
  readonly name: string;
  readonly address: string;
  readonly incarnation: number;
  readonly slots: number;
  readonly capacityBlocks: number;
  readonly prefillTokensPerMs: number;
  readonly pullTokensPerMs: number;
  readonly decodeMs: number;
  readonly store: string | null;
}

export interface ReplicaFaults {
  failStatus: number | null;
  failRetryAfter: number | null;
  truncateAfterPieces: number | null;
  stallMs: number;
  omitsEnd: boolean;
  claimedWeights: string | null;
  dropsEvents: boolean;
  hidesEvents: boolean;
  eventDelayMs: number;
  pullDelayMs: number;
}

export interface BlockingPrefill {
  readonly requestId: string;
  readonly tokens: number;
  readonly beganAt: number;
}

export interface Run {
  readonly requestId: string;
  readonly runId: string;
  readonly tenant: string;
  readonly isIsolated: boolean;
  readonly weights: string;
  readonly priority: number;
  readonly startedAt: number;
  readonly cacheFrom: string | null;
  readonly path: string;
  prefilledTokens: number;
  pulledTokens: number;
  localTokens: number;
  waitedMs: number;
  blockedBy: BlockingPrefill | null;
  isFinished: boolean;
  idempotencyKey: string | null;
}

export interface Arrival {
  readonly requestId: string;
  readonly at: number;
}

export interface Breach {
  readonly rule: 'weights' | 'tenant';
  readonly requestId: string;
  readonly holder: string;
  readonly block: string;
}

interface CachedCopy {
  readonly weights: string;
  readonly scope: string | null;
}

interface CacheEvent {
  readonly incarnation: number;
  readonly seq: number;
  readonly kind: 'stored' | 'removed' | 'cleared';
  readonly tenant: string | null;
  readonly blocks: readonly string[];
}

interface Waiting {
  readonly priority: number;
  readonly order: number;
  readonly wake: () => void;
}

const encoder = new TextEncoder();
const runLimit = 200_000;
const eventLimit = 50_000;

export const generatedText = {
  digest: (prompt: string): string => createHash('sha256').update(prompt).digest('hex'),
  piece: (digest: string, weights: string, runId: string, at: number): string =>
    `${createHash('sha256').update(`${weights}|${runId}|${at}|${digest}`).digest('hex').slice(0, 6)} `,
  whole: (prompt: string, weights: string, runId: string, count: number): string => {
    const digest = generatedText.digest(prompt);
    return Array.from({ length: count }, (_, at) => generatedText.piece(digest, weights, runId, at)).join('');
  },
};

const promptOf = (body: Record<string, unknown>): string => {
  if (typeof body.prompt === 'string') return body.prompt;
  const messages = (body.messages ?? []) as { role: string; content: string }[];
  return messages.map(({ role, content }) => `<${role}>\n${content}\n`).join('');
};

export class EmulatedReplica {
  readonly app = new Hono();
  readonly runs: Run[] = [];
  readonly breaches: Breach[] = [];
  readonly arrivals: Arrival[] = [];
  private runCount = 0;
  piecesSaid = 0;
  readonly faults: ReplicaFaults = {
    failStatus: null,
    failRetryAfter: null,
    truncateAfterPieces: null,
    stallMs: 0,
    omitsEnd: false,
    claimedWeights: null,
    dropsEvents: false,
    hidesEvents: false,
    eventDelayMs: 0,
    pullDelayMs: 0,
  };
  private readonly copies = new Map<string, CachedCopy[]>();
  private readonly events: CacheEvent[] = [];
  private readonly listeners = new Set<(line: CacheEvent) => void>();
  private readonly waiting: Waiting[] = [];
  private running = 0;
  private seq = 0;
  private order = 0;
  private readonly prefills: Waiting[] = [];
  private isPrefilling = false;
  private prefilling: BlockingPrefill | null = null;

  constructor(
    readonly settings: EmulatedReplicaSettings,
    private readonly clock: Clock,
    private readonly httpClient: HttpClient,
  ) {
    this.app.post('/v1/completions', (c) => this.complete(c.req.raw, '/v1/completions'));
    this.app.post('/v1/chat/completions', (c) => this.complete(c.req.raw, '/v1/chat/completions'));
    this.app.get('/kv-events', (c) => this.eventStream(Number(c.req.query('after') ?? '0'), c.req.raw.signal));
    this.app.post('/kv-keep', async (c) => {
      const { blocks, copy } = (await c.req.json()) as { blocks: string[]; copy: CachedCopy };
      this.store(blocks, copy);
      return c.json({ kept: blocks.length });
    });
    this.app.post('/kv-parts', async (c) =>
      c.json(this.cachedPrefix(((await c.req.json()) as { blocks: string[] }).blocks)),
    );
    this.app.get('/standin/totals', (c) => c.json(this.totals()));
    this.app.get('/healthz', (c) => c.json({ status: 'ok' }));
  }

  /** Sets or clears some faults; those not named stay as they are. */
  readonly setFaults = (faults: Partial<ReplicaFaults>): void => void Object.assign(this.faults, faults);

  readonly eventCount = (): number => this.seq;

  readonly totals = (): Record<string, number> => ({
    runs: this.runs.length,
    finished: this.runs.filter((run) => run.isFinished).length,
    requests: new Set(this.runs.map((run) => run.requestId)).size,
    prefilledTokens: this.runs.reduce((sum, run) => sum + run.prefilledTokens, 0),
    pulledTokens: this.runs.reduce((sum, run) => sum + run.pulledTokens, 0),
    localTokens: this.runs.reduce((sum, run) => sum + run.localTokens, 0),
    withHolder: this.runs.filter((run) => run.cacheFrom !== null).length,
    breaches: this.breaches.length,
  });

  private readonly publish = (kind: CacheEvent['kind'], tenant: string | null, blocks: readonly string[]): void => {
    if (this.faults.hidesEvents) return;
    const line: CacheEvent = { incarnation: this.settings.incarnation, seq: ++this.seq, kind, tenant, blocks };
    this.events.push(line);
    if (this.events.length > eventLimit) this.events.shift();
    if (this.faults.dropsEvents) return;
    for (const listener of this.listeners) {
      if (this.faults.eventDelayMs === 0) listener(line);
      else this.clock.after(this.faults.eventDelayMs, () => listener(line));
    }
  };

  private readonly eventStream = (after: number, signal: AbortSignal): Response => {
    let listener: ((line: CacheEvent) => void) | null = null;
    const leave = (): void => {
      if (listener !== null) this.listeners.delete(listener);
    };
    const body = new ReadableStream<Uint8Array>({
      start: (controller) => {
        listener = (line) => {
          try {
            controller.enqueue(encoder.encode(`data: ${JSON.stringify(line)}\n\n`));
          } catch {
            leave();
          }
        };
        const hello = { incarnation: this.settings.incarnation, seq: this.seq, kind: 'hello' };
        controller.enqueue(encoder.encode(`data: ${JSON.stringify(hello)}\n\n`));
        for (const line of this.events) if (line.seq > after) listener(line);
        this.listeners.add(listener);
        signal.addEventListener('abort', leave, { once: true });
      },
      cancel: leave,
    });
    return new Response(body, { headers: { 'content-type': 'text/event-stream' } });
  };

  private readonly cachedPrefix = (blocks: readonly string[]): { parts: CachedCopy[]; slowMs: number } => {
    const parts: CachedCopy[] = [];
    for (const block of blocks) {
      const copy = this.copies.get(block)?.[0];
      if (copy === undefined) break;
      parts.push(copy);
    }
    return { parts, slowMs: this.faults.pullDelayMs };
  };

  private readonly localBlocks = (blocks: readonly string[], wanted: CachedCopy): number => {
    let count = 0;
    for (const block of blocks) {
      const held = this.copies.get(block);
      if (held === undefined || !held.some((copy) => copy.weights === wanted.weights && copy.scope === wanted.scope))
        break;
      this.copies.delete(block);
      this.copies.set(block, held);
      count += 1;
    }
    return count;
  };

  private readonly store = (blocks: readonly string[], copy: CachedCopy): void => {
    const fresh: string[] = [];
    for (const block of blocks) {
      const held = this.copies.get(block) ?? [];
      if (held.some((one) => one.weights === copy.weights && one.scope === copy.scope)) continue;
      this.copies.set(block, [...held, copy]);
      fresh.push(block);
    }
    if (fresh.length > 0) this.publish('stored', copy.scope, fresh);
    const evicted: string[] = [];
    for (const block of this.copies.keys()) {
      if (this.copies.size <= this.settings.capacityBlocks) break;
      this.copies.delete(block);
      evicted.push(block);
    }
    if (evicted.length > 0) this.publish('removed', null, evicted);
  };

  private readonly offload = async (store: string, blocks: readonly string[], copy: CachedCopy): Promise<void> => {
    await this.httpClient.send({
      method: 'POST',
      url: `http://${store}/kv-keep`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ blocks, copy }),
      signal: new AbortController().signal,
      gate: () => true,
    });
  };

  private readonly pull = async (
    run: Run,
    holder: string,
    blocks: readonly string[],
    have: number,
  ): Promise<number> => {
    const quit = new AbortController();
    this.clock.after(2_000, () => quit.abort());
    const response = await this.httpClient.send({
      method: 'POST',
      url: `http://${holder}/kv-parts`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ blocks }),
      signal: quit.signal,
      gate: () => true,
    });
    if (response.isErr() || response.value.status !== 200) return 0;
    const bytes: Uint8Array[] = [];
    try {
      for await (const part of response.value.body) bytes.push(part);
    } catch {
      return 0;
    }
    const { parts, slowMs } = JSON.parse(Buffer.concat(bytes).toString('utf8')) as {
      parts: CachedCopy[];
      slowMs: number;
    };
    const taken = parts.slice(have);
    taken.forEach((part, at) => {
      const block = blocks[have + at] ?? '';
      if (part.weights !== run.weights)
        this.breaches.push({ rule: 'weights', requestId: run.requestId, holder, block });
      const isForeign = part.scope !== null ? part.scope !== run.tenant : run.isIsolated;
      if (isForeign) this.breaches.push({ rule: 'tenant', requestId: run.requestId, holder, block });
    });
    await pause.for(this.clock, slowMs + (taken.length * prompts.blockTokens) / this.settings.pullTokensPerMs);
    return taken.length;
  };

  private readonly acquireSlot = (priority: number): Promise<void> => {
    if (this.running < this.settings.slots) {
      this.running += 1;
      return Promise.resolve();
    }
    return new Promise((wake) => {
      this.waiting.push({ priority, order: ++this.order, wake });
      this.waiting.sort((a, b) => a.priority - b.priority || a.order - b.order);
    });
  };

  private readonly acquirePrefill = (priority: number): Promise<void> => {
    if (!this.isPrefilling) {
      this.isPrefilling = true;
      return Promise.resolve();
    }
    return new Promise((wake) => {
      this.prefills.push({ priority, order: ++this.order, wake });
      this.prefills.sort((a, b) => a.priority - b.priority || a.order - b.order);
    });
  };

  private readonly releasePrefill = (): void => {
    const next = this.prefills.shift();
    if (next === undefined) this.isPrefilling = false;
    else next.wake();
  };

  private readonly releaseSlot = (): void => {
    const next = this.waiting.shift();
    if (next === undefined) this.running -= 1;
    else next.wake();
  };

  private readonly complete = async (request: Request, path: string): Promise<Response> => {
    this.arrivals.push({ requestId: request.headers.get('x-request-id') ?? '', at: this.clock.now() });
    if (this.arrivals.length > runLimit) this.arrivals.shift();
    if (this.faults.failStatus !== null)
      return new Response('{"error":"fault"}', {
        status: this.faults.failStatus,
        ...(this.faults.failRetryAfter === null
          ? {}
          : { headers: { 'retry-after': String(this.faults.failRetryAfter) } }),
      });
    let body: Record<string, unknown>;
    try {
      body = (await request.json()) as Record<string, unknown>;
    } catch {
      return new Response('{"error":"bad body"}', { status: 400 });
    }
    if (request.signal.aborted) return new Response(null, { status: 499 });
    const prompt = promptOf(body);
    const weights = String(body.model);
    const isIsolated = request.headers.get('x-isolated') === '1';
    const tenant = request.headers.get('x-tenant') ?? '';
    const run: Run = {
      requestId: request.headers.get('x-request-id') ?? '',
      runId: `run-${this.settings.name}-${this.settings.incarnation}-${++this.runCount}`,
      tenant,
      isIsolated,
      weights,
      priority: Number(body.priority ?? 0),
      startedAt: this.clock.now(),
      cacheFrom: request.headers.get('cache-from'),
      path,
      prefilledTokens: 0,
      pulledTokens: 0,
      localTokens: 0,
      waitedMs: 0,
      blockedBy: null,
      isFinished: false,
      idempotencyKey: request.headers.get('idempotency-key'),
    };
    this.runs.push(run);
    if (this.runs.length > runLimit) this.runs.shift();
    const count = Math.max(1, Math.min(4096, Number(body.max_tokens ?? 16)));
    const pieces = this.pieces(run, prompt, count, request.signal);
    const stream = new ReadableStream<Uint8Array>(
      {
        pull: async (controller) => {
          try {
            const next = await pieces.next();
            if (next.done === true) controller.close();
            else controller.enqueue(encoder.encode(next.value));
          } catch (cause) {
            controller.error(cause);
          }
        },
        cancel: async () => void (await pieces.return(undefined)),
      },
      { highWaterMark: 0 },
    );
    return new Response(stream, { headers: { 'content-type': 'text/event-stream' } });
  };

  private readonly pieces = async function* (
    this: EmulatedReplica,
    run: Run,
    prompt: string,
    count: number,
    signal: AbortSignal,
  ): AsyncGenerator<string> {
    await this.acquireSlot(run.priority);
    try {
      const blocks = prompts.blocks(prompt);
      const copy: CachedCopy = { weights: run.weights, scope: run.isIsolated ? run.tenant : null };
      const localBefore = this.localBlocks(blocks, copy);
      const pulled =
        run.cacheFrom === null || run.cacheFrom === this.settings.address
          ? 0
          : await this.pull(run, run.cacheFrom, blocks, localBefore);
      run.blockedBy = this.isPrefilling ? this.prefilling : null;
      const cameAt = this.clock.now();
      await this.acquirePrefill(run.priority);
      run.waitedMs = this.clock.now() - cameAt;
      try {
        const local = Math.max(localBefore, this.localBlocks(blocks, copy) - pulled);
        run.localTokens = local * prompts.blockTokens;
        run.pulledTokens = pulled * prompts.blockTokens;
        run.prefilledTokens = Math.max(0, prompts.tokens(prompt) - run.localTokens - run.pulledTokens);
        this.prefilling = { requestId: run.requestId, tokens: run.prefilledTokens, beganAt: this.clock.now() };
        await pause.for(this.clock, run.prefilledTokens / this.settings.prefillTokensPerMs);
        this.store(blocks, copy);
        if (this.settings.store !== null) void this.offload(this.settings.store, blocks, copy);
      } finally {
        this.releasePrefill();
      }
      const isChat = run.path.startsWith('/v1/chat');
      const digest = generatedText.digest(prompt);
      for (let at = 0; at < count; at += 1) {
        if (signal.aborted) return;
        if (this.faults.stallMs > 0) await pause.for(this.clock, this.faults.stallMs);
        if (this.faults.truncateAfterPieces !== null && at >= this.faults.truncateAfterPieces) {
          if (this.faults.omitsEnd) return;
          throw new Error('cut by a fault');
        }
        await pause.for(this.clock, this.settings.decodeMs);
        const text = generatedText.piece(digest, run.weights, run.runId, at);
        this.piecesSaid += 1;
        const chunk = {
          id: run.runId,
          object: isChat ? 'chat.completion.chunk' : 'text_completion',
          created: 0,
          model: this.faults.claimedWeights ?? run.weights,
          choices: [
            {
              index: 0,
              ...(isChat ? { delta: { content: text } } : { text }),
              finish_reason: at === count - 1 ? 'stop' : null,
            },
          ],
          ...(at === count - 1 ? { usage: { prompt_tokens: prompts.tokens(prompt), completion_tokens: count } } : {}),
        };
        yield `data: ${JSON.stringify(chunk)}\n\n`;
      }
      run.isFinished = true;
      if (this.faults.omitsEnd) return;
      yield 'data: [DONE]\n\n';
    } finally {
      this.releaseSlot();
    }
  };
}
