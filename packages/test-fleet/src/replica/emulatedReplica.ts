/**
 * An emulated inference replica: it serves the completions API at the speed of a model, caches KV blocks, pulls them
 * from other replicas, reports them with events, and records every run. No model runs.
 */
import { timing, prompts } from '@martenworks/core-types';
import type { HttpClient, Clock } from '@martenworks/core-types';
import { Hono } from 'hono';
import { BlockCache } from './blockCache.js';
import type { CachedCopy } from './blockCache.js';
import { CacheEventLog } from './cacheEventLog.js';
import { completionRequest, completionResponse } from './completionApi.js';
import type { CompletionRequest } from './completionApi.js';
import { generatedText } from './generatedText.js';
import { PrioritySlots } from './prioritySlots.js';
import type {
  Arrival,
  BlockingPrefill,
  Breach,
  EmulatedReplicaSettings,
  ReplicaFaults,
  Run,
} from './replicaRecords.js';

const maxRecords = 200_000;
const pullTimeoutMs = 2_000;
const clientClosedStatus = 499;

const sumOf = (runs: readonly Run[], field: 'prefilledTokens' | 'pulledTokens' | 'localTokens'): number =>
  runs.reduce((sum, run) => sum + run[field], 0);

const addLimited = <T>(records: T[], record: T): void => {
  records.push(record);
  if (records.length > maxRecords) records.shift();
};

/** Serves its HTTP API through `app`; all timing uses the given clock, so that it also runs in the simulator. */
export class EmulatedReplica {
  /** The HTTP routes. */
  readonly app = new Hono();
  /** All runs in the order in which they started. */
  readonly runs: Run[] = [];
  /** Cached blocks that were taken from other weights or another tenant. */
  readonly breaches: Breach[] = [];
  /** All requests received, whether they ran or not. */
  readonly arrivals: Arrival[] = [];
  /** The active faults. */
  readonly faults: ReplicaFaults = {
    failStatus: null,
    failRetryAfter: null,
    truncateAfterChunks: null,
    stallMs: 0,
    omitsEnd: false,
    claimedWeights: null,
    dropsEvents: false,
    hidesEvents: false,
    eventDelayMs: 0,
    pullDelayMs: 0,
  };
  /** Number of tokens generated so far. */
  generatedTokens = 0;
  private runCount = 0;
  private prefilling: BlockingPrefill | null = null;
  private readonly events: CacheEventLog;
  private readonly cache: BlockCache;
  private readonly slots: PrioritySlots;
  private readonly prefillSlot = new PrioritySlots(1);

  constructor(
    /** Size and speed. */
    readonly settings: EmulatedReplicaSettings,
    private readonly clock: Clock,
    private readonly httpClient: HttpClient,
  ) {
    this.events = new CacheEventLog(settings.incarnation, this.faults, clock);
    this.cache = new BlockCache(settings.capacityBlocks, this.events);
    this.slots = new PrioritySlots(settings.slots);
    this.addRoutes();
  }

  /** Sets or clears the given faults; the others are unchanged. */
  readonly setFaults = (faults: Partial<ReplicaFaults>): void => void Object.assign(this.faults, faults);

  /** Returns the number of cache events published. */
  readonly eventCount = (): number => this.events.lastSeq();

  /** Returns totals over all runs. */
  readonly totals = (): Record<string, number> => ({
    runs: this.runs.length,
    finished: this.runs.filter((run) => run.isFinished).length,
    requests: new Set(this.runs.map((run) => run.requestId)).size,
    prefilledTokens: sumOf(this.runs, 'prefilledTokens'),
    pulledTokens: sumOf(this.runs, 'pulledTokens'),
    localTokens: sumOf(this.runs, 'localTokens'),
    withHolder: this.runs.filter((run) => run.cacheFrom !== null).length,
    breaches: this.breaches.length,
  });

  private readonly addRoutes = (): void => {
    const { app } = this;
    app.post('/v1/completions', (c) => this.complete(c.req.raw, '/v1/completions'));
    app.post('/v1/chat/completions', (c) => this.complete(c.req.raw, '/v1/chat/completions'));
    app.get('/kv-events', (c) => this.events.stream(Number(c.req.query('after') ?? '0'), c.req.raw.signal));
    app.post('/kv-keep', async (c) => {
      const { blocks, copy } = await c.req.json<{ blocks: string[]; copy: CachedCopy }>();
      this.cache.store(blocks, copy);
      return c.json({ kept: blocks.length });
    });
    app.post('/kv-parts', async (c) => {
      const { blocks } = await c.req.json<{ blocks: string[] }>();
      return c.json({ parts: this.cache.prefix(blocks), slowMs: this.faults.pullDelayMs });
    });
    app.get('/standin/totals', (c) => c.json(this.totals()));
    app.get('/healthz', (c) => c.json({ status: 'ok' }));
  };

  private readonly post = (url: string, body: unknown, signal: AbortSignal): ReturnType<HttpClient['send']> =>
    this.httpClient.send({
      method: 'POST',
      url,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      signal,
      gate: () => true,
    });

  private readonly offload = (store: string, blocks: readonly string[], copy: CachedCopy): Promise<unknown> =>
    this.post(`http://${store}/kv-keep`, { blocks, copy }, new AbortController().signal);

  /** Pulls the blocks after the first `localCount` from another replica; returns how many arrived, 0 on failure. */
  private readonly pull = async (
    run: Run,
    holder: string,
    blocks: readonly string[],
    localCount: number,
  ): Promise<number> => {
    const abortController = new AbortController();
    this.clock.after(pullTimeoutMs, () => abortController.abort());
    const response = await this.post(`http://${holder}/kv-parts`, { blocks }, abortController.signal);
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
    const pulledCopies = parts.slice(localCount);
    pulledCopies.forEach((copy, at) => {
      this.recordBreaches(run, holder, blocks[localCount + at] ?? '', copy);
    });
    await timing.sleep(
      this.clock,
      slowMs + (pulledCopies.length * prompts.blockTokens) / this.settings.pullTokensPerMs,
    );
    return pulledCopies.length;
  };

  private readonly recordBreaches = (run: Run, holder: string, block: string, copy: CachedCopy): void => {
    const { requestId } = run;
    if (copy.weights !== run.weights) this.breaches.push({ rule: 'weights', requestId, holder, block });
    const isForeign = copy.scope !== null ? copy.scope !== run.tenant : run.isIsolated;
    if (isForeign) this.breaches.push({ rule: 'tenant', requestId, holder, block });
  };

  private readonly complete = async (request: Request, path: string): Promise<Response> => {
    addLimited(this.arrivals, { requestId: request.headers.get('x-request-id') ?? '', at: this.clock.now() });
    const { failStatus, failRetryAfter } = this.faults;
    if (failStatus !== null) return completionResponse.fault(failStatus, failRetryAfter);
    const completion = await completionRequest.read(request);
    if (completion === null) return completionResponse.badBody();
    if (request.signal.aborted) return new Response(null, { status: clientClosedStatus });
    const run = this.newRun(completion, request.headers, path);
    addLimited(this.runs, run);
    return completionResponse.stream(this.frames(run, completion, request.signal));
  };

  private readonly newRun = ({ weights, priority }: CompletionRequest, headers: Headers, path: string): Run => ({
    requestId: headers.get('x-request-id') ?? '',
    runId: `run-${this.settings.name}-${this.settings.incarnation}-${++this.runCount}`,
    tenant: headers.get('x-tenant') ?? '',
    isIsolated: headers.get('x-isolated') === '1',
    weights,
    priority,
    startedAt: this.clock.now(),
    cacheFrom: headers.get('cache-from'),
    path,
    prefilledTokens: 0,
    pulledTokens: 0,
    localTokens: 0,
    waitedMs: 0,
    blockedBy: null,
    isFinished: false,
    idempotencyKey: headers.get('idempotency-key'),
  });

  private readonly frames = async function* (
    this: EmulatedReplica,
    run: Run,
    completion: CompletionRequest,
    signal: AbortSignal,
  ): AsyncGenerator<string> {
    await this.slots.acquire(run.priority);
    try {
      await this.prefill(run, completion.prompt);
      yield* this.decode(run, completion, signal);
    } finally {
      this.slots.release();
    }
  };

  /**
   * Uses cached blocks and blocks pulled from another replica, and computes the rest after the prefills queued before
   * it.
   */
  private readonly prefill = async (run: Run, prompt: string): Promise<void> => {
    const blocks = prompts.blocks(prompt);
    const copy: CachedCopy = { weights: run.weights, scope: run.isIsolated ? run.tenant : null };
    const localBefore = this.cache.touchPrefix(blocks, copy);
    const holder = run.cacheFrom === this.settings.address ? null : run.cacheFrom;
    const pulled = holder === null ? 0 : await this.pull(run, holder, blocks, localBefore);
    run.blockedBy = this.prefillSlot.isFull() ? this.prefilling : null;
    const queuedAt = this.clock.now();
    await this.prefillSlot.acquire(run.priority);
    run.waitedMs = this.clock.now() - queuedAt;
    try {
      const local = Math.max(localBefore, this.cache.touchPrefix(blocks, copy) - pulled);
      run.localTokens = local * prompts.blockTokens;
      run.pulledTokens = pulled * prompts.blockTokens;
      run.prefilledTokens = Math.max(0, prompts.tokens(prompt) - run.localTokens - run.pulledTokens);
      this.prefilling = { requestId: run.requestId, tokens: run.prefilledTokens, beganAt: this.clock.now() };
      await timing.sleep(this.clock, run.prefilledTokens / this.settings.prefillTokensPerMs);
      this.cache.store(blocks, copy);
      if (this.settings.store !== null) void this.offload(this.settings.store, blocks, copy);
    } finally {
      this.prefillSlot.release();
    }
  };

  private readonly decode = async function* (
    this: EmulatedReplica,
    run: Run,
    { prompt, tokens }: CompletionRequest,
    signal: AbortSignal,
  ): AsyncGenerator<string> {
    const { faults } = this;
    const digest = generatedText.digest(prompt);
    for (let at = 0; at < tokens; at += 1) {
      if (signal.aborted) return;
      if (faults.stallMs > 0) await timing.sleep(this.clock, faults.stallMs);
      if (faults.truncateAfterChunks !== null && at >= faults.truncateAfterChunks) {
        if (faults.omitsEnd) return;
        throw new Error('response truncated by an injected fault');
      }
      await timing.sleep(this.clock, this.settings.decodeMs);
      const text = generatedText.tokenText(digest, run.weights, run.runId, at);
      this.generatedTokens += 1;
      const last = at === tokens - 1 ? { promptTokens: prompts.tokens(prompt), tokens } : null;
      yield completionResponse.frame(run, faults.claimedWeights ?? run.weights, text, last);
    }
    run.isFinished = true;
    if (!faults.omitsEnd) yield completionResponse.endFrame;
  };
}
