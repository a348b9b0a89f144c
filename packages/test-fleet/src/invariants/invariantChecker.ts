import { createParser } from 'eventsource-parser';
import { keyOf, sampleWorkload } from '../workload/sampleDeployments.js';
import type { SampleRequest, RequestKind } from '../workload/sampleDeployments.js';
import { generatedText } from '../replica/emulatedReplica.js';
import type { Breach, Run, Arrival } from '../replica/emulatedReplica.js';
import type { Carriage } from '@martenworks/core-types';

export interface Call {
  readonly requestId: string;
  readonly request: SampleRequest;
  readonly host: string;
  readonly sentAt: number;
  readonly idempotencyKey: string | null;
  outcome: 'open' | 'whole' | 'denied' | 'cut' | 'lost';
  status: number;
  code: string;
  ran: string;
  retryAfter: string | null;
  text: string;
  endedAt: number;
  firstTokenAt: number;
  isAborted: boolean;
}

export interface Violation {
  readonly rule: string;
  readonly detail: string;
}

const atMostOnceLanes = new Set<RequestKind>(['confirm', 'book']);
const propagationMs = 2_000;
const drainNoticeMs = 3_000;
const oldWeightsGraceMs = 12_000;
const retryShare = 0.2;
const retryAllowance = 18;
const connectSlackMs = 1_500;
const abortShare = 0.02;
const duplicatePromptShare = 0.06;
const unknownKeyShare = 0.01;

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
const notYetAppliedCodes = new Set(['unknown_lane', 'lane_not_granted', 'unknown_key']);

export interface ReplicaIncarnation {
  readonly name: string;
  readonly incarnation: number;
  readonly runs: readonly Run[];
  readonly arrivals: readonly Arrival[];
  readonly breaches: readonly Breach[];
}

export interface ObservedFleet {
  readonly counterHosts: readonly string[];
  readonly now: () => number;
  readonly random: () => number;
  readonly after: (delayMs: number, callback: () => void) => void;
  readonly outside: () => Carriage;
  readonly replicaIncarnations: () => readonly ReplicaIncarnation[];
}

export class InvariantChecker {
  readonly calls: Call[] = [];
  readonly weightsChanges: { offeredAt: number; at: number; pool: string; weights: string }[] = [];
  readonly granted = new Map<string, Grant[]>();
  readonly probes: Probe[] = [];
  readonly drainingSince: { name: string; incarnation: number; at: number }[] = [];
  readonly acceptedIds = new Map<string, number>();
  readonly refusedIds = new Set<string>();
  readonly lostGateways = new Set<number>();
  private next = 0;

  constructor(
    private readonly fleet: ObservedFleet,
    private readonly salt = '',
  ) {
    this.weightsChanges.push(
      { offeredAt: 0, at: 0, pool: 'main', weights: 'weights-1' },
      { offeredAt: 0, at: 0, pool: 'app', weights: 'app-1' },
    );
  }

  readonly send = (
    request: SampleRequest,
    counterAt: number,
    more: { idempotencyKey?: string; horizonMs?: number; signal?: AbortSignal; whole?: boolean } = {},
  ): Call => {
    const call: Call = {
      requestId: `call-${this.salt}${++this.next}`,
      request,
      host: this.fleet.counterHosts[counterAt] as string,
      sentAt: this.fleet.now(),
      idempotencyKey: more.idempotencyKey ?? null,
      outcome: 'open',
      status: 0,
      code: '',
      ran: '',
      retryAfter: null,
      text: '',
      endedAt: 0,
      firstTokenAt: 0,
      isAborted: false,
    };
    this.calls.push(call);
    more.signal?.addEventListener('abort', () => (call.isAborted = call.endedAt === 0), { once: true });
    void this.follow(call, more).then(() => (call.endedAt = this.fleet.now()));
    return call;
  };

  private readonly follow = async (
    call: Call,
    more: { horizonMs?: number; signal?: AbortSignal; whole?: boolean },
  ): Promise<void> => {
    const isStreamed = more.whole !== true;
    const receipt = await this.fleet.outside().carry({
      method: 'POST',
      url: `http://${call.host}:7101/v1/completions`,
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${call.request.key}`,
        'x-request-id': call.requestId,
        ...(call.idempotencyKey === null ? {} : { 'idempotency-key': call.idempotencyKey }),
        ...(more.horizonMs === undefined ? {} : { 'x-horizon-ms': String(more.horizonMs) }),
      },
      body: JSON.stringify({
        model: call.request.kind,
        prompt: call.request.prompt,
        max_tokens: call.request.maxTokens,
        stream: isStreamed,
      }),
      signal: more.signal ?? new AbortController().signal,
      gate: () => true,
    });
    if (receipt.isErr()) {
      call.outcome = 'lost';
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
          if (call.firstTokenAt === 0) call.firstTokenAt = this.fleet.now();
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
      call.outcome = isEnded && !isError && !isBroken ? 'whole' : 'cut';
      return;
    }
    if (isBroken) {
      call.outcome = 'lost';
      return;
    }
    const body = JSON.parse(rawText) as { error?: { type: string; ran: string }; choices?: { text: string }[] };
    if (call.status === 200) {
      call.text = body.choices?.[0]?.text ?? '';
      call.outcome = 'whole';
      return;
    }
    call.outcome = 'denied';
    call.code = body.error?.type ?? '';
    call.ran = body.error?.ran ?? '';
  };

  readonly liveGateways = (): number[] =>
    this.fleet.counterHosts.map((_, at) => at).filter((at) => !this.lostGateways.has(at));

  private readonly randomGateway = (): number => {
    const liveGateways = this.liveGateways();
    return liveGateways[Math.floor(this.fleet.random() * liveGateways.length)] as number;
  };

  readonly traffic = (ratePerSecond: number, forMs: number, longShare?: number, hasAborts = false): void => {
    const { now, random, after } = this.fleet;
    const end = now() + forMs;
    const go = (): void => {
      if (now() >= end) return;
      const request = sampleWorkload.request(random, this.calls.length, longShare);
      const draw = hasAborts ? random() : 0.25;
      const abortion = new AbortController();
      if (draw < abortShare) after(random() * 400, () => abortion.abort());
      this.send(request, this.randomGateway(), { signal: abortion.signal });
      if (draw > 1 - duplicatePromptShare)
        this.send(
          {
            ...sampleWorkload.request(random, 0, 0),
            kind: request.kind,
            prompt: request.prompt,
            maxTokens: request.maxTokens,
          },
          this.randomGateway(),
        );
      if (draw > 0.5 && draw < 0.5 + unknownKeyShare) {
        const key = `never-granted-${this.calls.length}`;
        this.granted.set(key, []);
        this.send({ ...request, key, tenant: 'nobody' }, this.randomGateway());
      }
      after((-Math.log(1 - random()) * 1000) / ratePerSecond, go);
    };
    go();
  };

  readonly keyedTraffic = (ratePerSecond: number, forMs: number): void => {
    const { now, random, after } = this.fleet;
    const end = now() + forMs;
    const { randomGateway } = this;
    const retry = (request: SampleRequest, idempotencyKey: string, call: Call, left: number): void => {
      after(300, () => {
        if (call.outcome === 'open') return retry(request, idempotencyKey, call, left);
        if (call.outcome === 'whole' || left === 0) return;
        retry(request, idempotencyKey, this.send(request, randomGateway(), { idempotencyKey }), left - 1);
      });
    };
    const go = (): void => {
      if (now() >= end) return;
      const request = {
        ...sampleWorkload.request(random, this.calls.length, 0),
        kind: (random() < 0.5 ? 'book' : 'confirm') as RequestKind,
      };
      const idempotencyKey = `order-${this.calls.length}`;
      retry(request, idempotencyKey, this.send(request, randomGateway(), { idempotencyKey }), 3);
      if (random() < 0.4) after(random() * 60, () => void this.send(request, randomGateway(), { idempotencyKey }));
      after((-Math.log(1 - random()) * 1000) / ratePerSecond, go);
    };
    go();
  };

  readonly allRuns = (): (Run & { replica: string; incarnation: number })[] =>
    this.fleet
      .replicaIncarnations()
      .flatMap(({ name, incarnation, runs }) => runs.map((run) => ({ ...run, replica: name, incarnation })));

  readonly grant = (key: string, tenant: string): Grant => {
    const grant: Grant = { tenant, from: this.fleet.now(), to: Number.POSITIVE_INFINITY };
    this.granted.set(key, [...(this.granted.get(key) ?? []), grant]);
    return grant;
  };

  readonly probeChange = (lane: string, tier: string, repeat: 'once' | 'freely'): Record<string, unknown> => ({
    lanes: { [lane]: { pool: 'main', repeat } },
    tenants: { [sampleWorkload.prober]: { tier, lanes: [lane] } },
  });

  readonly probeEveryGateway = (
    lane: string,
    change: string,
    isWanted: boolean,
    tier: string,
    repeat: 'once' | 'freely',
  ): void => {
    const priority = sampleWorkload.tiers[tier as keyof typeof sampleWorkload.tiers];
    for (const at of this.liveGateways()) {
      const request = {
        ...sampleWorkload.request(this.fleet.random, this.calls.length, 0),
        kind: lane as RequestKind,
        tenant: sampleWorkload.prober,
        key: keyOf(sampleWorkload.prober),
      };
      this.probes.push({ call: this.send(request, at), change, isWanted, priority, repeat });
    }
  };

  private readonly keyViolations = (call: Call, own: readonly Run[]): Violation[] => {
    const grants = this.granted.get(call.request.key);
    return own.flatMap((run): Violation[] => {
      const then = grants?.filter((grant) => run.startedAt >= grant.from && run.startedAt <= grant.to + propagationMs);
      if (then?.length === 0)
        return [{ rule: 'a key not granted', detail: `${call.requestId} at ${Math.round(run.startedAt)}` }];
      const holders = then?.map((grant) => grant.tenant) ?? [call.request.tenant];
      return holders.includes(run.tenant)
        ? []
        : [{ rule: 'another tenant', detail: `${call.requestId} of ${holders.join()} ran for ${run.tenant}` }];
    });
  };

  private readonly probeViolations = (byRequest: ReadonlyMap<string, Run[]>): Violation[] =>
    this.probes.flatMap(({ call, change, isWanted, priority, repeat }): Violation[] => {
      const own = byRequest.get(call.requestId) ?? [];
      const detail = `${change}: ${call.requestId} at ${call.host}, ${Math.round(call.sentAt)}: ${call.outcome} ${call.code}`;
      if (!isWanted)
        return own.length > 0 || call.outcome === 'whole' ? [{ rule: 'a losing change took effect', detail }] : [];
      const violations: Violation[] = [];
      if (call.outcome === 'denied' && notYetAppliedCodes.has(call.code))
        violations.push({ rule: 'an accepted change is not in force', detail });
      if (own.some((run) => run.priority !== priority))
        violations.push({
          rule: 'an accepted change is not in force',
          detail: `${detail} ran at ${own.map((run) => run.priority).join()}, not ${priority}`,
        });
      if (repeat === 'once' && own.length > 1) violations.push({ rule: 'runs twice', detail });
      return violations;
    });

  private readonly retryBudgetViolations = (): Violation[] => {
    const violations: Violation[] = [];
    const firsts = new Map<string, number[]>();
    const extras = new Map<string, number[]>();
    const seen = new Set<string>();
    const add = (table: Map<string, number[]>, pool: string, at: number): void => {
      const held = table.get(pool) ?? [];
      held.push(at);
      table.set(pool, held);
    };
    const arrivals = this.fleet
      .replicaIncarnations()
      .flatMap(({ name, arrivals }) => arrivals.map((visit) => ({ ...visit, pool: poolOf(name) })))
      .sort((a, b) => a.at - b.at);
    for (const { requestId, at, pool } of arrivals) {
      add(seen.has(`${pool} ${requestId}`) ? extras : firsts, pool, at);
      seen.add(`${pool} ${requestId}`);
    }
    for (const call of this.calls) {
      const pool = call.request.kind === 'book' ? 'app' : 'main';
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
          worst = Math.max(worst, end - begin + 1 - traffic * retryShare - retryAllowance);
        }
      }
      if (worst > 0)
        violations.push({
          rule: 'extra shots',
          detail: `pool ${pool}: ${worst.toFixed(1)} more than a fifth and the allowance in some window, ${ats.length} in all`,
        });
    }
    return violations;
  };

  private readonly textViolations = (call: Call, runs: readonly Run[]): Violation[] => {
    const label = `${call.requestId} ${call.request.kind} ${call.outcome}`;
    const spoken = (run: Run): string =>
      generatedText.whole(call.request.prompt, run.weights, run.runId, call.request.maxTokens);
    if (call.outcome !== 'whole')
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

  readonly violations = (): Violation[] => {
    const violations: Violation[] = [];
    const runs = this.allRuns();
    const byRequest = new Map<string, (typeof runs)[number][]>();
    for (const run of runs) byRequest.set(run.requestId, [...(byRequest.get(run.requestId) ?? []), run]);
    const byKey = new Map<string, number>();
    for (const call of this.calls) {
      const own = byRequest.get(call.requestId) ?? [];
      const label = `${call.requestId} ${call.request.kind} ${call.outcome}`;
      if (atMostOnceLanes.has(call.request.kind) && own.length > 1)
        violations.push({ rule: 'runs twice', detail: `${label}: ${own.length} runs` });
      if (call.idempotencyKey !== null) {
        const key = `${call.request.tenant}/${call.idempotencyKey}`;
        byKey.set(key, (byKey.get(key) ?? 0) + own.length);
      }
      if (call.outcome === 'denied' && call.ran === 'no' && own.length > 0)
        violations.push({ rule: 'not run, yet ran', detail: label });
      if (call.outcome === 'denied' && (call.status === 429 || call.status === 503) && call.retryAfter === null)
        violations.push({ rule: 'no Retry-After', detail: label });
      violations.push(
        ...(call.idempotencyKey === null ? this.textViolations(call, own) : []),
        ...this.keyViolations(call, own),
      );
      for (const run of own) {
        const due = this.weightsChanges.findLast(
          (one) => one.pool === poolOf(run.replica) && call.sentAt >= one.at + propagationMs,
        );
        const used = this.weightsChanges.findLast(
          (one) => one.pool === poolOf(run.replica) && one.weights === run.weights,
        );
        if (due !== undefined && used !== undefined && used.offeredAt < due.offeredAt)
          violations.push({
            rule: 'an accepted change is not in force',
            detail: `${label} sent at ${Math.round(call.sentAt)} ran on ${run.weights}, not ${due.weights}`,
          });
      }
    }
    violations.push(...this.probeViolations(byRequest), ...this.retryBudgetViolations());
    const keyed = new Map<string, Call[]>();
    for (const call of this.calls) {
      if (call.idempotencyKey === null) continue;
      const key = `${call.request.tenant}/${call.idempotencyKey}`;
      keyed.set(key, [...(keyed.get(key) ?? []), call]);
    }
    for (const [key, calls] of keyed) {
      const under = calls.flatMap((call) => byRequest.get(call.requestId) ?? []);
      for (const call of calls) {
        if (call.outcome === 'denied' && call.ran === 'no' && under.some((run) => run.startedAt <= call.endedAt))
          violations.push({ rule: 'not run, yet ran', detail: `${call.requestId} under key ${key}` });
        violations.push(...this.textViolations(call, under));
      }
    }
    for (const [key, count] of byKey)
      if (count > 1) violations.push({ rule: 'runs twice', detail: `idempotency key ${key}: ${count} runs` });
    for (const { breaches } of this.fleet.replicaIncarnations())
      for (const breach of breaches)
        violations.push({
          rule: `foreign KV (${breach.rule})`,
          detail: `${breach.requestId} took ${breach.block} from ${breach.holder}`,
        });
    for (const run of runs) {
      const left = this.drainingSince.find((one) => one.name === run.replica && one.incarnation === run.incarnation);
      if (left !== undefined && run.startedAt > left.at + drainNoticeMs)
        violations.push({
          rule: 'a leaving replica got a request',
          detail: `${run.requestId} on ${run.replica} ${Math.round(run.startedAt - left.at)} ms after`,
        });
      const pool = poolOf(run.replica);
      const named = this.weightsChanges.filter((one) => one.pool === pool);
      const mayUse = named.some(
        (one, index) =>
          one.weights === run.weights &&
          run.startedAt >= one.offeredAt &&
          run.startedAt <= (named[index + 1]?.at ?? Number.POSITIVE_INFINITY) + oldWeightsGraceMs,
      );
      if (!mayUse)
        violations.push({
          rule: 'old weights started',
          detail: `${run.requestId} on ${run.weights} at ${Math.round(run.startedAt)}`,
        });
    }
    return violations;
  };

  readonly tally = (): Record<string, number> => {
    const counts: Record<string, number> = {};
    for (const call of this.calls) {
      const key = call.outcome === 'denied' ? `denied ${call.code} ran=${call.ran}` : call.outcome;
      counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
  };
}
