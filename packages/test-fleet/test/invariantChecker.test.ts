import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import type { Gateway } from '@martenworks/gateway';
import type { HttpClient, Disk, Ports } from '@martenworks/core-types';
import { FaultInjectionRun } from '@martenworks/test-fleet';
import type { FaultKind, FaultSchedule } from '@martenworks/test-fleet';

type Writable<T> = { -readonly [K in keyof T]: T[K] };
const writable = <T extends object>(value: T): Writable<T> & Record<string, unknown> =>
  value as Writable<T> & Record<string, unknown>;

const withHttpClient =
  (wrap: (httpClient: HttpClient) => Partial<HttpClient>) =>
  (role: string, ports: Ports): Ports =>
    role === 'gateway' ? { ...ports, httpClient: { ...ports.httpClient, ...wrap(ports.httpClient) } } : ports;

const withDisk =
  (wrap: (disk: Disk) => Partial<Disk>) =>
  (role: string, ports: Ports): Ports =>
    role === 'control' ? { ...ports, disk: { ...ports.disk, ...wrap(ports.disk) } } : ports;

const ignoringUpdates =
  (topic: 'change', from: number) =>
  (gateway: Gateway): void => {
    const applyChange = gateway.stateView.applyChange;
    writable(gateway.stateView).applyChange = (logIndex, change) =>
      logIndex > from && topic === 'change' ? false : applyChange(logIndex, change);
    const applySnapshot = gateway.stateView.applySnapshot;
    writable(gateway.stateView).applySnapshot = (state) => (state.logIndex > from ? false : applySnapshot(state));
    writable(gateway.freshness).isFresh = () => gateway.stateView.logIndex() >= 0;
  };

const initialLogIndex = 10;

interface Defect {
  readonly description: string;
  readonly rule: string;
  readonly kinds: readonly FaultKind[];
  readonly plan: Omit<FaultSchedule, 'seed' | 'kinds'>;
  /** The seed that is known to detect the defect; it is tried before the others. */
  readonly firstSeed?: number;
}

const seeds = [1, 2, 3, 4];

const seedsOf = ({ firstSeed }: Defect): number[] =>
  firstSeed === undefined ? seeds : [firstSeed, ...seeds.filter((seed) => seed !== firstSeed)];

const defects: Defect[] = [
  {
    description: 'every failed attempt counts as unsent',
    rule: 'runs twice',
    kinds: ['replica crashes', 'replica cuts streams'],
    plan: {
      longShare: 0.5,
      ratePerSecond: 45,
      faultCount: 16,
      overrides: {
        portsFor: withHttpClient((httpClient) => ({
          send: async (request) => (await httpClient.send(request)).mapErr((fault) => ({ ...fault, isUnsent: true })),
        })),
        onGatewayStarted: (gateway) => {
          writable(gateway.stages.sendStage).retry = (request: never) => gateway.stages.placementStage.enqueue(request);
        },
      },
    },
  },
  {
    description: 'each gateway grants its own claims',
    rule: 'runs twice',
    kinds: ['counter dies'],
    plan: {
      faultCount: 2,
      overrides: {
        onGatewayStarted: (gateway) => {
          writable(gateway.claims).acquire = async (key, digest) => ({
            kind: 'claimed',
            claim: { key, turn: 0, claimant: { id: key, gateway: '', address: '', digest } },
          });
        },
      },
    },
  },
  {
    description: 'a gateway that is not the claimant releases the claim of a crashed one',
    rule: 'runs twice',
    kinds: ['counter dies', 'counters die in a herd'],
    plan: {
      overrides: {
        onGatewayStarted: (gateway) => {
          writable(gateway.claims).fetchState = async () => ({ kind: 'not run' });
        },
      },
    },
  },
  {
    description: 'requests that may have run are reported as not run',
    rule: 'reported as not run, but ran',
    kinds: ['replica cuts streams', 'replica crashes', 'key is revoked'],
    plan: {
      longShare: 0.4,
      overrides: {
        onGatewayStarted: (gateway) => {
          const reject = gateway.stages.rejector.reject;
          writable(gateway.stages.rejector).reject = (request, code, detail) => {
            request.mayHaveRun = false;
            reject(request, code, detail);
          };
        },
      },
    },
  },
  {
    description: 'a truncated stream ends as if it were complete',
    rule: 'wrong or truncated response looks complete',
    kinds: ['replica cuts streams'],
    plan: {
      overrides: {
        onGatewayStarted: (gateway) => {
          const next = writable(gateway.stages.relayStage).nextEvent as (
            ...args: unknown[]
          ) => Promise<{ kind: string }>;
          writable(gateway.stages.relayStage).nextEvent = async (...args: unknown[]) => {
            const event = await next(...args);
            return event.kind === 'truncated' ? { kind: 'done' } : event;
          };
        },
      },
    },
  },
  {
    description: 'one chunk in a hundred is dropped',
    rule: 'wrong or truncated response looks complete',
    kinds: ['layout changes'],
    plan: {
      overrides: {
        onGatewayStarted: (gateway) => {
          let count = 0;
          const next = writable(gateway.stages.relayStage).nextEvent as (
            ...args: unknown[]
          ) => Promise<{ kind: string }>;
          writable(gateway.stages.relayStage).nextEvent = async (...args: unknown[]) => {
            const event = await next(...args);
            count += 1;
            return count % 100 === 0 && event.kind === 'chunk' ? next(...args) : event;
          };
        },
      },
    },
  },
  {
    description: 'requests run for another tenant',
    rule: 'ran for another tenant',
    kinds: ['layout changes'],
    plan: {
      overrides: {
        portsFor: withHttpClient((httpClient) => ({
          send: (request) => httpClient.send({ ...request, headers: { ...request.headers, 'x-tenant': 'north' } }),
        })),
      },
    },
  },
  {
    description: 'gateways never learn of revoked keys and consider themselves up to date',
    rule: 'ran with a key that is not granted',
    kinds: ['key is revoked'],
    plan: { faultCount: 2, overrides: { onGatewayStarted: ignoringUpdates('change', initialLogIndex + 1) } },
  },
  {
    description: 'any replica is used as cache source, and isolated tenants run anywhere',
    rule: 'foreign KV (tenant)',
    firstSeed: 4,
    kinds: ['kv news is late'],
    plan: {
      longShare: 0.5,
      overrides: {
        onGatewayStarted: (gateway) => {
          writable(gateway.stateView.tenantPartitions).mayBeSource = () => true;
          writable(gateway.stateView.tenantPartitions).mayRun = () => true;
          const match = gateway.stateView.index.match;
          writable(gateway.stateView.index).match = (...args) => ({ ...match(...args), canBeSource: true });
        },
      },
    },
  },
  {
    description: 'cache sources are used regardless of the weights that computed their blocks',
    rule: 'foreign KV (weights)',
    kinds: ['new weights'],
    plan: {
      longShare: 0.5,
      faultCount: 3,
      overrides: {
        onGatewayStarted: (gateway) => {
          writable(gateway.stateView).holdersIn = (poolName) => gateway.stateView.inPool(poolName);
          writable(gateway.stateView.index).reconcile = (
            (reconcile) => (records: Parameters<typeof reconcile>[0]) =>
              reconcile(records, () => 0)
          )(gateway.stateView.index.reconcile);
        },
      },
    },
  },
  {
    description: 'a gateway misses every change and considers itself up to date',
    rule: 'an accepted change is not in effect',
    kinds: ['layout changes', 'many lanes'],
    plan: {
      overrides: {
        onGatewayStarted: (gateway) =>
          gateway.settings.name === 'counter-2' ? ignoringUpdates('change', initialLogIndex)(gateway) : undefined,
      },
    },
  },
  {
    description: 'a gateway that misses every change still starts requests on old weights',
    rule: 'started on old weights',
    kinds: ['new weights'],
    plan: {
      faultCount: 2,
      overrides: {
        onGatewayStarted: (gateway) =>
          gateway.settings.name === 'counter-2' ? ignoringUpdates('change', initialLogIndex)(gateway) : undefined,
      },
    },
  },
  {
    description: 'the disk reports syncs that it does not perform',
    rule: 'an accepted change is lost',
    kinds: ['control nodes die in a herd', 'layout changes', 'many lanes'],
    plan: {
      faultCount: 10,
      overrides: {
        portsFor: withDisk((disk) => ({
          open: async (name) => (await disk.open(name)).map((file) => ({ ...file, sync: async () => ok(undefined) })),
        })),
      },
    },
  },
  {
    description: 'a change rejected with a conflict is retried on a newer base with the same id',
    rule: 'a rejected change took effect',
    kinds: ['rival changes'],
    plan: {
      overrides: {
        onControlNodeStarted: (controlNode) => {
          const config = controlNode.changeService.changeConfig;
          writable(controlNode.changeService).changeConfig = async (id, base, edit) => {
            const outcome = await config(id, base, edit);
            if (outcome.isErr() && outcome.error.code === 'conflict')
              void config(id, outcome.error.configLogIndex, edit);
            return outcome;
          };
        },
      },
    },
  },
  {
    description: 'conflicting changes are both reported as accepted',
    rule: 'an accepted change is lost',
    kinds: ['rival changes'],
    plan: {
      overrides: {
        onControlNodeStarted: (controlNode) => {
          const config = controlNode.changeService.changeConfig;
          writable(controlNode.changeService).changeConfig = async (id, base, edit) =>
            (await config(id, base, edit)).orElse((fault) =>
              fault.code === 'conflict' ? ok({ logIndex: base + 1, isRepeat: false }) : err(fault),
            );
        },
      },
    },
  },
  {
    description: 'draining replicas count as ready',
    rule: 'a draining replica got a request',
    kinds: ['replica leaves'],
    plan: {
      overrides: {
        onGatewayStarted: (gateway) => {
          writable(gateway.stateView).applyReplicas = (
            (applyReplicas) => (records: Parameters<typeof applyReplicas>[0]) =>
              applyReplicas(records.map((record) => ({ ...record, state: 'ready' as const })))
          )(gateway.stateView.applyReplicas);
        },
      },
    },
  },
  {
    description: 'retries do not count against the budget',
    rule: 'retry budget exceeded',
    kinds: ['whole pool errs'],
    plan: {
      ratePerSecond: 60,
      faultCount: 3,
      overrides: {
        onGatewayStarted: (gateway) => {
          writable(gateway.stages.sendStage).budgetOf = () => ({
            trySpend: () => true,
            recordFirstAttempt: () => {},
            remaining: () => 1,
          });
        },
      },
    },
  },
  {
    description: 'a gateway that lost its control nodes never reconnects',
    rule: 'service did not recover',
    kinds: ['all machines die', 'control nodes die in a herd'],
    plan: {
      faultCount: 3,
      overrides: {
        onGatewayStarted: (gateway) => {
          writable(gateway.peerPool).stop = () => {};
        },
        portsFor: (role, ports) =>
          role === 'gateway'
            ? {
                ...ports,
                net: {
                  ...ports.net,
                  dial: (address, timeoutMs) =>
                    ports.clock.now() > 6_000
                      ? Promise.resolve(err({ kind: 'net' as const, code: 'BROKEN', isUnsent: true }))
                      : ports.net.dial(address, timeoutMs),
                },
              }
            : ports,
      },
    },
  },
];

const promptIn = (body: string | null): string => String((JSON.parse(body ?? '{}') as { prompt?: unknown }).prompt);

const replayingResponses = (spliceAt: number): ((httpClient: HttpClient) => Partial<HttpClient>) => {
  const responsesByPrompt = new Map<string, Uint8Array[]>();
  return (httpClient) => ({
    send: async (request) => {
      const response = await httpClient.send(request);
      if (response.isErr() || response.value.status !== 200 || !request.url.includes('/v1/')) return response;
      const prompt = promptIn(request.body as string | null);
      const own: Uint8Array[] = [];
      const other = responsesByPrompt.get(prompt) ?? own;
      responsesByPrompt.set(prompt, other);
      const body = async function* (): AsyncGenerator<Uint8Array> {
        let id = '';
        for await (const bytes of response.value.body) {
          own.push(bytes);
          const text = Buffer.from(bytes).toString('utf8');
          id = /"id":"([^"]+)"/.exec(text)?.[1] ?? id;
          const replacement = own.length > spliceAt ? other[own.length - 1] : undefined;
          yield replacement === undefined || text.includes('[DONE]')
            ? bytes
            : Buffer.from(
                Buffer.from(replacement)
                  .toString('utf8')
                  .replace(/"id":"[^"]+"/, `"id":"${id}"`),
              );
        }
      };
      return ok({ ...response.value, body: body() });
    },
  });
};

defects.push(
  {
    description: "an equal prompt gets the response of another request's run",
    rule: 'wrong or truncated response looks complete',
    kinds: ['layout changes'],
    plan: { faultCount: 1, overrides: { portsFor: withHttpClient(replayingResponses(0)) } },
  },
  {
    description: 'the responses of two runs of one prompt are spliced',
    rule: 'wrong or truncated response looks complete',
    kinds: ['layout changes'],
    plan: { faultCount: 1, overrides: { portsFor: withHttpClient(replayingResponses(2)) } },
  },
  {
    description: 'a change of the tier does not reach the replicas',
    rule: 'an accepted change is not in effect',
    kinds: ['layout is probed'],
    plan: {
      faultCount: 2,
      overrides: {
        portsFor: withHttpClient((httpClient) => ({
          send: (request) =>
            httpClient.send(
              request.body === null
                ? request
                : { ...request, body: String(request.body).replace(/"priority":\d+/, '"priority":0') },
            ),
        })),
      },
    },
  },
  {
    description: 'a rejected change opens its lane nevertheless',
    rule: 'a rejected change took effect',
    kinds: ['rival changes', 'layout is probed'],
    plan: {
      faultCount: 3,
      overrides: {
        onGatewayStarted: (gateway) => {
          const view = gateway.stateView.view;
          writable(gateway.stateView).view = () => {
            const current = view();
            const query = current?.lanes.get('query');
            if (current === null || query === undefined) return current;
            const tenants = Object.assign(new Map(current.tenants), {
              get: (name: string) => {
                const tenant = current.tenants.get(name);
                return tenant === undefined || name !== 'prober'
                  ? tenant
                  : { ...tenant, lanes: new Set([...tenant.lanes, query.index]) };
              },
            });
            return {
              ...current,
              tenants,
              lanes: Object.assign(new Map(current.lanes), {
                get: (name: string) => current.lanes.get(name) ?? (/^(rival|probe)-/.test(name) ? query : undefined),
              }),
            };
          };
        },
      },
    },
  },
  {
    description: 'a key that is granted again still runs for its first tenant',
    rule: 'ran for another tenant',
    kinds: ['key is revoked'],
    plan: {
      faultCount: 4,
      overrides: {
        onGatewayStarted: (gateway) => {
          const first = new Map<string, string>();
          const view = gateway.stateView.view;
          writable(gateway.stateView).view = () => {
            const current = view();
            if (current === null) return null;
            for (const [hash, grant] of Object.entries(current.keys))
              if (!first.has(hash)) first.set(hash, grant.tenant);
            return {
              ...current,
              keys: Object.fromEntries(
                Object.keys(current.keys).map((hash) => [hash, { tenant: first.get(hash) as string }]),
              ),
            };
          };
        },
      },
    },
  },
  {
    description: "a key that was never granted is accepted as the first tenant's",
    rule: 'ran with a key that is not granted',
    kinds: ['layout changes'],
    plan: {
      faultCount: 1,
      overrides: {
        onGatewayStarted: (gateway) => {
          const view = gateway.stateView.view;
          writable(gateway.stateView).view = () => {
            const current = view();
            return current === null
              ? null
              : {
                  ...current,
                  keys: new Proxy(current.keys, {
                    get: (keys, hash) => keys[hash as string] ?? { tenant: 'north' },
                    getOwnPropertyDescriptor: () => ({
                      configurable: true,
                      enumerable: true,
                      value: { tenant: 'north' },
                    }),
                  }),
                };
          };
        },
      },
    },
  },
  {
    description: 'a restarted gateway has a full retry budget',
    rule: 'retry budget exceeded',
    firstSeed: 2,
    kinds: ['counters die in a herd', 'whole pool errs'],
    plan: {
      ratePerSecond: 60,
      faultCount: 14,
      spanMs: 24_000,
      longShare: 0,
      overrides: {
        onGatewayStarted: (gateway) => {
          writable(gateway.stages.sendStage).budgetOf = ((budgetOf) => (pool: string) => {
            const budget = budgetOf(pool) as { tokens: number; isFilled?: boolean };
            if (budget.isFilled !== true)
              Object.assign(budget, { isFilled: true, tokens: 40, recordFirstAttempt: () => {} });
            return budget;
          })(writable(gateway.stages.sendStage).budgetOf as (pool: string) => unknown);
        },
      },
    },
  },
  {
    description: 'the permanent loss of one machine stops the whole service',
    rule: 'service did not recover',
    kinds: ['layout changes'],
    plan: {
      faultCount: 1,
      permanentLoss: 'control node lost for good',
      overrides: {
        onGatewayStarted: (gateway) => {
          writable(gateway.freshness).isFresh = () => gateway.freshness.freshNodeCount() === 3;
        },
      },
    },
  },
);

describe('InvariantChecker', () => {
  for (const defect of defects) {
    const { description, rule, kinds, plan } = defect;
    it(`given a fault in the product (${description}), when fault schedules run, then the violation "${rule}" is reported`, async () => {
      const reportedRules: string[] = [];
      for (const seed of seedsOf(defect)) {
        if (reportedRules.includes(rule)) break;
        const report = await new FaultInjectionRun({ seed, kinds, faultCount: 6, ...plan }).run();
        reportedRules.push(...report.violations.map((violation) => violation.rule));
      }
      expect(reportedRules).to.include(rule);
    });
  }
});
