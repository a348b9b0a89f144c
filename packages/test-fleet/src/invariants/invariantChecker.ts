import { createParser } from 'eventsource-parser';
import { keyOf, plans } from '../workload/sampleDeployments.js';
import type { Ask, Kind } from '../workload/sampleDeployments.js';
import { speech } from '../replica/emulatedReplica.js';
import type { Breach, Run, Visit } from '../replica/emulatedReplica.js';
import type { Carriage } from '@martenworks/core-types';

export interface Call {
  readonly requestId: string;
  readonly ask: Ask;
  readonly host: string;
  readonly sentAt: number;
  readonly idempotencyKey: string | null;
  verdict: 'open' | 'whole' | 'denied' | 'cut' | 'lost';
  status: number;
  code: string;
  ran: string;
  retryAfter: string | null;
  text: string;
  endedAt: number;
  firstAt: number;
  isLeft: boolean;
}

export interface Told {
  readonly rule: string;
  readonly detail: string;
}

const lanesOnce = new Set<Kind>(['confirm', 'book']);
const inForceMs = 2_000;
const leavingMs = 3_000;
const oldWeightsMs = 12_000;
const extraShare = 0.2;
const extraAllowance = 18;
const connectSlackMs = 1_500;
const leavingShare = 0.02;
const twinShare = 0.06;
const strangerShare = 0.01;

export interface Grant {
  readonly tenant: string;
  readonly from: number;
  to: number;
}

export interface Probe {
  readonly call: Call;
  readonly change: string;
  readonly isWanted: boolean;
  readonly priority: number;
  readonly repeat: 'once' | 'freely';
}

const poolOf = (replica: string): string => (replica === 'app-1' ? 'app' : 'main');
const notInForce = new Set(['unknown_lane', 'lane_not_granted', 'unknown_key']);

export interface Life {
  readonly name: string;
  readonly incarnation: number;
  readonly runs: readonly Run[];
  readonly visits: readonly Visit[];
  readonly breaches: readonly Breach[];
}

export interface Scene {
  readonly counterHosts: readonly string[];
  readonly now: () => number;
  readonly random: () => number;
  readonly after: (delayMs: number, ring: () => void) => void;
  readonly outside: () => Carriage;
  readonly lives: () => readonly Life[];
}

export class Judge {
  readonly calls: Call[] = [];
  readonly weightsFrom: { offeredAt: number; at: number; pool: string; weights: string }[] = [];
  readonly granted = new Map<string, Grant[]>();
  readonly probes: Probe[] = [];
  readonly leftAt: { name: string; incarnation: number; at: number }[] = [];
  readonly acceptedIds = new Map<string, number>();
  readonly refusedIds = new Set<string>();
  readonly gone = new Set<number>();
  private next = 0;

  constructor(
    private readonly scene: Scene,
    private readonly salt = '',
  ) {
    this.weightsFrom.push(
      { offeredAt: 0, at: 0, pool: 'main', weights: 'weights-1' },
      { offeredAt: 0, at: 0, pool: 'app', weights: 'app-1' },
    );
  }

  readonly send = (
    ask: Ask,
    counterAt: number,
    more: { idempotencyKey?: string; horizonMs?: number; signal?: AbortSignal; whole?: boolean } = {},
  ): Call => {
    const call: Call = {
      requestId: `call-${this.salt}${++this.next}`,
      ask,
      host: this.scene.counterHosts[counterAt] as string,
      sentAt: this.scene.now(),
      idempotencyKey: more.idempotencyKey ?? null,
      verdict: 'open',
      status: 0,
      code: '',
      ran: '',
      retryAfter: null,
      text: '',
      endedAt: 0,
      firstAt: 0,
      isLeft: false,
    };
    this.calls.push(call);
    more.signal?.addEventListener('abort', () => (call.isLeft = call.endedAt === 0), { once: true });
    void this.follow(call, more).then(() => (call.endedAt = this.scene.now()));
    return call;
  };

  private readonly follow = async (
    call: Call,
    more: { horizonMs?: number; signal?: AbortSignal; whole?: boolean },
  ): Promise<void> => {
    const isStreamed = more.whole !== true;
    const receipt = await this.scene.outside().carry({
      method: 'POST',
      url: `http://${call.host}:7101/v1/completions`,
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${call.ask.key}`,
        'x-request-id': call.requestId,
        ...(call.idempotencyKey === null ? {} : { 'idempotency-key': call.idempotencyKey }),
        ...(more.horizonMs === undefined ? {} : { 'x-horizon-ms': String(more.horizonMs) }),
      },
      body: JSON.stringify({
        model: call.ask.kind,
        prompt: call.ask.prompt,
        max_tokens: call.ask.maxTokens,
        stream: isStreamed,
      }),
      signal: more.signal ?? new AbortController().signal,
      gate: () => true,
    });
    if (receipt.isErr()) {
      call.verdict = 'lost';
      call.code = receipt.error.code;
      return;
    }
    call.status = receipt.value.status;
    call.retryAfter = receipt.value.header('retry-after');
    let isEnded = false;
    let isError = false;
    let rawText = '';
    const parser = createParser({
      onEvent: (event) => {
        if (event.event === 'error') {
          isError = true;
          call.ran = (JSON.parse(event.data) as { error: { ran: string } }).error.ran;
        } else if (event.data === '[DONE]') isEnded = true;
        else {
          if (call.firstAt === 0) call.firstAt = this.scene.now();
          call.text += (JSON.parse(event.data) as { choices: { text: string }[] }).choices[0]?.text ?? '';
        }
      },
    });
    const decoder = new TextDecoder();
    let isBroken = false;
    try {
      for await (const bytes of receipt.value.body) {
        const text = decoder.decode(bytes, { stream: true });
        if (call.status === 200 && isStreamed) parser.feed(text);
        else rawText += text;
      }
    } catch {
      isBroken = true;
    }
    if (call.status === 200 && isStreamed) {
      call.verdict = isEnded && !isError && !isBroken ? 'whole' : 'cut';
      return;
    }
    if (isBroken) {
      call.verdict = 'lost';
      return;
    }
    const body = JSON.parse(rawText) as { error?: { type: string; ran: string }; choices?: { text: string }[] };
    if (call.status === 200) {
      call.text = body.choices?.[0]?.text ?? '';
      call.verdict = 'whole';
      return;
    }
    call.verdict = 'denied';
    call.code = body.error?.type ?? '';
    call.ran = body.error?.ran ?? '';
  };

  readonly living = (): number[] => this.scene.counterHosts.map((_, at) => at).filter((at) => !this.gone.has(at));

  private readonly somewhere = (): number => {
    const living = this.living();
    return living[Math.floor(this.scene.random() * living.length)] as number;
  };

  readonly traffic = (ratePerSecond: number, forMs: number, longShare?: number, isRough = false): void => {
    const { now, random, after } = this.scene;
    const end = now() + forMs;
    const go = (): void => {
      if (now() >= end) return;
      const ask = plans.ask(random, this.calls.length, longShare);
      const draw = isRough ? random() : 0.25;
      const quit = new AbortController();
      if (draw < leavingShare) after(random() * 400, () => quit.abort());
      this.send(ask, this.somewhere(), { signal: quit.signal });
      if (draw > 1 - twinShare)
        this.send(
          { ...plans.ask(random, 0, 0), kind: ask.kind, prompt: ask.prompt, maxTokens: ask.maxTokens },
          this.somewhere(),
        );
      if (draw > 0.5 && draw < 0.5 + strangerShare) {
        const key = `never-granted-${this.calls.length}`;
        this.granted.set(key, []);
        this.send({ ...ask, key, tenant: 'nobody' }, this.somewhere());
      }
      after((-Math.log(1 - random()) * 1000) / ratePerSecond, go);
    };
    go();
  };

  readonly keyedTraffic = (ratePerSecond: number, forMs: number): void => {
    const { now, random, after } = this.scene;
    const end = now() + forMs;
    const { somewhere } = this;
    const retry = (ask: Ask, idempotencyKey: string, call: Call, left: number): void => {
      after(300, () => {
        if (call.verdict === 'open') return retry(ask, idempotencyKey, call, left);
        if (call.verdict === 'whole' || left === 0) return;
        retry(ask, idempotencyKey, this.send(ask, somewhere(), { idempotencyKey }), left - 1);
      });
    };
    const go = (): void => {
      if (now() >= end) return;
      const ask = { ...plans.ask(random, this.calls.length, 0), kind: (random() < 0.5 ? 'book' : 'confirm') as Kind };
      const idempotencyKey = `order-${this.calls.length}`;
      retry(ask, idempotencyKey, this.send(ask, somewhere(), { idempotencyKey }), 3);
      if (random() < 0.4) after(random() * 60, () => void this.send(ask, somewhere(), { idempotencyKey }));
      after((-Math.log(1 - random()) * 1000) / ratePerSecond, go);
    };
    go();
  };

  readonly runs = (): (Run & { replica: string; incarnation: number })[] =>
    this.scene
      .lives()
      .flatMap(({ name, incarnation, runs }) => runs.map((run) => ({ ...run, replica: name, incarnation })));

  readonly grant = (key: string, tenant: string): Grant => {
    const grant: Grant = { tenant, from: this.scene.now(), to: Number.POSITIVE_INFINITY };
    this.granted.set(key, [...(this.granted.get(key) ?? []), grant]);
    return grant;
  };

  readonly probed = (lane: string, tier: string, repeat: 'once' | 'freely'): Record<string, unknown> => ({
    lanes: { [lane]: { pool: 'main', repeat } },
    tenants: { [plans.prober]: { tier, lanes: [lane] } },
  });

  readonly probeAll = (
    lane: string,
    change: string,
    isWanted: boolean,
    tier: string,
    repeat: 'once' | 'freely',
  ): void => {
    const priority = plans.tiers[tier as keyof typeof plans.tiers];
    for (const at of this.living()) {
      const ask = {
        ...plans.ask(this.scene.random, this.calls.length, 0),
        kind: lane as Kind,
        tenant: plans.prober,
        key: keyOf(plans.prober),
      };
      this.probes.push({ call: this.send(ask, at), change, isWanted, priority, repeat });
    }
  };

  private readonly keyPlaints = (call: Call, own: readonly Run[]): Told[] => {
    const grants = this.granted.get(call.ask.key);
    return own.flatMap((run): Told[] => {
      const then = grants?.filter((grant) => run.startedAt >= grant.from && run.startedAt <= grant.to + inForceMs);
      if (then?.length === 0)
        return [{ rule: 'a key not granted', detail: `${call.requestId} at ${Math.round(run.startedAt)}` }];
      const holders = then?.map((grant) => grant.tenant) ?? [call.ask.tenant];
      return holders.includes(run.tenant)
        ? []
        : [{ rule: 'another tenant', detail: `${call.requestId} of ${holders.join()} ran for ${run.tenant}` }];
    });
  };

  private readonly probePlaints = (byRequest: ReadonlyMap<string, Run[]>): Told[] =>
    this.probes.flatMap(({ call, change, isWanted, priority, repeat }): Told[] => {
      const own = byRequest.get(call.requestId) ?? [];
      const detail = `${change}: ${call.requestId} at ${call.host}, ${Math.round(call.sentAt)}: ${call.verdict} ${call.code}`;
      if (!isWanted)
        return own.length > 0 || call.verdict === 'whole' ? [{ rule: 'a losing change took effect', detail }] : [];
      const told: Told[] = [];
      if (call.verdict === 'denied' && notInForce.has(call.code))
        told.push({ rule: 'an accepted change is not in force', detail });
      if (own.some((run) => run.priority !== priority))
        told.push({
          rule: 'an accepted change is not in force',
          detail: `${detail} ran at ${own.map((run) => run.priority).join()}, not ${priority}`,
        });
      if (repeat === 'once' && own.length > 1) told.push({ rule: 'runs twice', detail });
      return told;
    });

  private readonly extraPlaints = (): Told[] => {
    const told: Told[] = [];
    const firsts = new Map<string, number[]>();
    const extras = new Map<string, number[]>();
    const seen = new Set<string>();
    const add = (table: Map<string, number[]>, pool: string, at: number): void => {
      const held = table.get(pool) ?? [];
      held.push(at);
      table.set(pool, held);
    };
    const visits = this.scene
      .lives()
      .flatMap(({ name, visits }) => visits.map((visit) => ({ ...visit, pool: poolOf(name) })))
      .sort((a, b) => a.at - b.at);
    for (const { requestId, at, pool } of visits) {
      add(seen.has(`${pool} ${requestId}`) ? extras : firsts, pool, at);
      seen.add(`${pool} ${requestId}`);
    }
    for (const call of this.calls) {
      const pool = call.ask.kind === 'book' ? 'app' : 'main';
      if (!seen.has(`${pool} ${call.requestId}`)) add(firsts, pool, call.sentAt);
    }
    for (const [pool, ats] of extras) {
      const sorted = (firsts.get(pool) ?? []).sort((a, b) => a - b);
      const upTo = (at: number): number => {
        let low = 0;
        let high = sorted.length;
        while (low < high) {
          const middle = (low + high) >> 1;
          if ((sorted[middle] as number) <= at) low = middle + 1;
          else high = middle;
        }
        return low;
      };
      let worst = 0;
      for (let end = 0; end < ats.length; end += 1) {
        for (let begin = 0; begin <= end; begin += 1) {
          const traffic = upTo(ats[end] as number) - upTo((ats[begin] as number) - connectSlackMs);
          worst = Math.max(worst, end - begin + 1 - traffic * extraShare - extraAllowance);
        }
      }
      if (worst > 0)
        told.push({
          rule: 'extra shots',
          detail: `pool ${pool}: ${worst.toFixed(1)} more than a fifth and the allowance in some window, ${ats.length} in all`,
        });
    }
    return told;
  };

  private readonly textPlaints = (call: Call, runs: readonly Run[]): Told[] => {
    const label = `${call.requestId} ${call.ask.kind} ${call.verdict}`;
    const spoken = (run: Run): string => speech.whole(call.ask.prompt, run.weights, run.runId, call.ask.maxTokens);
    if (call.verdict !== 'whole')
      return call.text === '' || runs.some((run) => spoken(run).startsWith(call.text))
        ? []
        : [{ rule: 'skipped, repeated or spliced piece', detail: label }];
    const finished = runs.filter((run) => run.isFinished);
    if (finished.length === 0)
      return [
        {
          rule: runs.some((run) => spoken(run).startsWith(call.text))
            ? 'wrong or cut answer looks whole'
            : 'success the replica never gave',
          detail: label,
        },
      ];
    return finished.some((run) => spoken(run) === call.text)
      ? []
      : [{ rule: 'wrong or cut answer looks whole', detail: label }];
  };

  readonly complaints = (): Told[] => {
    const told: Told[] = [];
    const runs = this.runs();
    const byRequest = new Map<string, (typeof runs)[number][]>();
    for (const run of runs) byRequest.set(run.requestId, [...(byRequest.get(run.requestId) ?? []), run]);
    const byKey = new Map<string, number>();
    for (const call of this.calls) {
      const own = byRequest.get(call.requestId) ?? [];
      const label = `${call.requestId} ${call.ask.kind} ${call.verdict}`;
      if (lanesOnce.has(call.ask.kind) && own.length > 1)
        told.push({ rule: 'runs twice', detail: `${label}: ${own.length} runs` });
      if (call.idempotencyKey !== null) {
        const key = `${call.ask.tenant}/${call.idempotencyKey}`;
        byKey.set(key, (byKey.get(key) ?? 0) + own.length);
      }
      if (call.verdict === 'denied' && call.ran === 'no' && own.length > 0)
        told.push({ rule: 'not run, yet ran', detail: label });
      if (call.verdict === 'denied' && (call.status === 429 || call.status === 503) && call.retryAfter === null)
        told.push({ rule: 'no Retry-After', detail: label });
      told.push(...(call.idempotencyKey === null ? this.textPlaints(call, own) : []), ...this.keyPlaints(call, own));
      for (const run of own) {
        const due = this.weightsFrom.findLast(
          (one) => one.pool === poolOf(run.replica) && call.sentAt >= one.at + inForceMs,
        );
        const used = this.weightsFrom.findLast(
          (one) => one.pool === poolOf(run.replica) && one.weights === run.weights,
        );
        if (due !== undefined && used !== undefined && used.offeredAt < due.offeredAt)
          told.push({
            rule: 'an accepted change is not in force',
            detail: `${label} sent at ${Math.round(call.sentAt)} ran on ${run.weights}, not ${due.weights}`,
          });
      }
    }
    told.push(...this.probePlaints(byRequest), ...this.extraPlaints());
    const keyed = new Map<string, Call[]>();
    for (const call of this.calls) {
      if (call.idempotencyKey === null) continue;
      const key = `${call.ask.tenant}/${call.idempotencyKey}`;
      keyed.set(key, [...(keyed.get(key) ?? []), call]);
    }
    for (const [key, some] of keyed) {
      const under = some.flatMap((call) => byRequest.get(call.requestId) ?? []);
      for (const call of some) {
        if (call.verdict === 'denied' && call.ran === 'no' && under.some((run) => run.startedAt <= call.endedAt))
          told.push({ rule: 'not run, yet ran', detail: `${call.requestId} under key ${key}` });
        told.push(...this.textPlaints(call, under));
      }
    }
    for (const [key, count] of byKey)
      if (count > 1) told.push({ rule: 'runs twice', detail: `idempotency key ${key}: ${count} runs` });
    for (const { breaches } of this.scene.lives())
      for (const breach of breaches)
        told.push({
          rule: `foreign KV (${breach.rule})`,
          detail: `${breach.requestId} took ${breach.block} from ${breach.holder}`,
        });
    for (const run of runs) {
      const left = this.leftAt.find((one) => one.name === run.replica && one.incarnation === run.incarnation);
      if (left !== undefined && run.startedAt > left.at + leavingMs)
        told.push({
          rule: 'a leaving replica got a request',
          detail: `${run.requestId} on ${run.replica} ${Math.round(run.startedAt - left.at)} ms after`,
        });
      const pool = poolOf(run.replica);
      const named = this.weightsFrom.filter((one) => one.pool === pool);
      const mayUse = named.some(
        (one, index) =>
          one.weights === run.weights &&
          run.startedAt >= one.offeredAt &&
          run.startedAt <= (named[index + 1]?.at ?? Number.POSITIVE_INFINITY) + oldWeightsMs,
      );
      if (!mayUse)
        told.push({
          rule: 'old weights started',
          detail: `${run.requestId} on ${run.weights} at ${Math.round(run.startedAt)}`,
        });
    }
    return told;
  };

  readonly tally = (): Record<string, number> => {
    const counts: Record<string, number> = {};
    for (const call of this.calls) {
      const key = call.verdict === 'denied' ? `denied ${call.code} ran=${call.ran}` : call.verdict;
      counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
  };
}
