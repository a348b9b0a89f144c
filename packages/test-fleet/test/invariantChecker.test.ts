import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import type { Gateway } from '@martenworks/gateway';
import type { HttpClient, Disk, Ports } from '@martenworks/core-types';
import { FaultInjectionRun } from '@martenworks/test-fleet';
import type { FaultKind, FaultSchedule } from '@martenworks/test-fleet';

type Open<T> = { -readonly [K in keyof T]: T[K] };
const loosened = <T extends object>(held: T): Open<T> & Record<string, unknown> =>
  held as Open<T> & Record<string, unknown>;

const carriageBroken =
  (wrap: (httpClient: HttpClient) => Partial<HttpClient>) =>
  (role: string, ports: Ports): Ports =>
    role === 'gateway' ? { ...ports, httpClient: { ...ports.httpClient, ...wrap(ports.httpClient) } } : ports;

const diskBroken =
  (wrap: (disk: Disk) => Partial<Disk>) =>
  (role: string, ports: Ports): Ports =>
    role === 'control' ? { ...ports, disk: { ...ports.disk, ...wrap(ports.disk) } } : ports;

const deafTo =
  (topic: 'change', from: number) =>
  (gateway: Gateway): void => {
    const take = gateway.stateView.applyChange;
    loosened(gateway.stateView).applyChange = (logIndex, change) =>
      logIndex > from && topic === 'change' ? false : take(logIndex, change);
    const whole = gateway.stateView.applySnapshot;
    loosened(gateway.stateView).applySnapshot = (state) => (state.logIndex > from ? false : whole(state));
    loosened(gateway.freshness).isFresh = () => gateway.stateView.logIndex() >= 0;
  };

const upGeneration = 10;

interface Break {
  readonly what: string;
  readonly rule: string;
  readonly kinds: readonly FaultKind[];
  readonly plan: Omit<FaultSchedule, 'seed' | 'kinds'>;
  /** The seed that is known to find the break, so that it is tried before the others. */
  readonly firstSeed?: number;
}

const seeds = [1, 2, 3, 4];

const seedsOf = ({ firstSeed }: Break): number[] =>
  firstSeed === undefined ? seeds : [firstSeed, ...seeds.filter((seed) => seed !== firstSeed)];

const breaks: Break[] = [
  {
    what: 'every failed shot is held to be unsent',
    rule: 'runs twice',
    kinds: ['replica crashes', 'replica cuts streams'],
    plan: {
      longShare: 0.5,
      ratePerSecond: 45,
      faultCount: 16,
      overrides: {
        portsFor: carriageBroken((httpClient) => ({
          send: async (request) => (await httpClient.send(request)).mapErr((fault) => ({ ...fault, isUnsent: true })),
        })),
        onGatewayStarted: (gateway) => {
          loosened(gateway.stages.sendStage).retry = (parcel: never) => gateway.stages.placementStage.enqueue(parcel);
        },
      },
    },
  },
  {
    what: 'each counter grants its own claims',
    rule: 'runs twice',
    kinds: ['counter dies'],
    plan: {
      faultCount: 2,
      overrides: {
        onGatewayStarted: (gateway) => {
          loosened(gateway.claims).acquire = async (key, digest) => ({
            kind: 'claimed',
            claim: { key, turn: 0, claimant: { id: key, gateway: '', address: '', digest } },
          });
        },
      },
    },
  },
  {
    what: 'a counter that was not the claimant frees the claim of a dead one',
    rule: 'runs twice',
    kinds: ['counter dies', 'counters die in a herd'],
    plan: {
      overrides: {
        onGatewayStarted: (gateway) => {
          loosened(gateway.claims).fetchState = async () => ({ kind: 'not run' });
        },
      },
    },
  },
  {
    what: 'what may have run is told as not run',
    rule: 'not run, yet ran',
    kinds: ['replica cuts streams', 'replica crashes', 'key is revoked'],
    plan: {
      longShare: 0.4,
      overrides: {
        onGatewayStarted: (gateway) => {
          const refuse = gateway.stages.rejector.reject;
          loosened(gateway.stages.rejector).reject = (parcel, code, detail) => {
            parcel.mayHaveRun = false;
            refuse(parcel, code, detail);
          };
        },
      },
    },
  },
  {
    what: 'a cut stream is ended cleanly',
    rule: 'wrong or cut answer looks whole',
    kinds: ['replica cuts streams'],
    plan: {
      overrides: {
        onGatewayStarted: (gateway) => {
          const next = loosened(gateway.stages.relayStage).nextEvent as (
            ...args: unknown[]
          ) => Promise<{ kind: string }>;
          loosened(gateway.stages.relayStage).nextEvent = async (...args: unknown[]) => {
            const piece = await next(...args);
            return piece.kind === 'truncated' ? { kind: 'done' } : piece;
          };
        },
      },
    },
  },
  {
    what: 'one piece in a hundred is dropped',
    rule: 'wrong or cut answer looks whole',
    kinds: ['layout changes'],
    plan: {
      overrides: {
        onGatewayStarted: (gateway) => {
          let count = 0;
          const next = loosened(gateway.stages.relayStage).nextEvent as (
            ...args: unknown[]
          ) => Promise<{ kind: string }>;
          loosened(gateway.stages.relayStage).nextEvent = async (...args: unknown[]) => {
            const piece = await next(...args);
            count += 1;
            return count % 100 === 0 && piece.kind === 'chunk' ? next(...args) : piece;
          };
        },
      },
    },
  },
  {
    what: 'the run is booked to another tenant',
    rule: 'another tenant',
    kinds: ['layout changes'],
    plan: {
      overrides: {
        portsFor: carriageBroken((httpClient) => ({
          send: (request) => httpClient.send({ ...request, headers: { ...request.headers, 'x-tenant': 'north' } }),
        })),
      },
    },
  },
  {
    what: 'a counter never hears of revoked keys and holds itself fresh',
    rule: 'a key not granted',
    kinds: ['key is revoked'],
    plan: { faultCount: 2, overrides: { onGatewayStarted: deafTo('change', upGeneration + 1) } },
  },
  {
    what: 'any holder is named, and isolated tenants run anywhere',
    rule: 'foreign KV (tenant)',
    firstSeed: 4,
    kinds: ['kv news is late'],
    plan: {
      longShare: 0.5,
      overrides: {
        onGatewayStarted: (gateway) => {
          loosened(gateway.stateView.tenantPartitions).mayBeSource = () => true;
          loosened(gateway.stateView.tenantPartitions).mayRun = () => true;
          const kept = gateway.stateView.index.match;
          loosened(gateway.stateView.index).match = (...args) => ({ ...kept(...args), canBeSource: true });
        },
      },
    },
  },
  {
    what: 'holders are named whatever weights made their parts',
    rule: 'foreign KV (weights)',
    kinds: ['new weights'],
    plan: {
      longShare: 0.5,
      faultCount: 3,
      overrides: {
        onGatewayStarted: (gateway) => {
          loosened(gateway.stateView).holdersIn = (poolName) => gateway.stateView.inPool(poolName);
          loosened(gateway.stateView.index).reconcile = (
            (reconcile) => (records: Parameters<typeof reconcile>[0]) =>
              reconcile(records, () => 0)
          )(gateway.stateView.index.reconcile);
        },
      },
    },
  },
  {
    what: 'a counter misses every change and holds itself fresh',
    rule: 'an accepted change is not in force',
    kinds: ['layout changes', 'many lanes'],
    plan: {
      overrides: {
        onGatewayStarted: (gateway) =>
          gateway.settings.name === 'counter-2' ? deafTo('change', upGeneration)(gateway) : undefined,
      },
    },
  },
  {
    what: 'a counter that misses every change still starts old weights',
    rule: 'old weights started',
    kinds: ['new weights'],
    plan: {
      faultCount: 2,
      overrides: {
        onGatewayStarted: (gateway) =>
          gateway.settings.name === 'counter-2' ? deafTo('change', upGeneration)(gateway) : undefined,
      },
    },
  },
  {
    what: 'the disk lies about syncing',
    rule: 'an accepted change is lost',
    kinds: ['control nodes die in a herd', 'layout changes', 'many lanes'],
    plan: {
      faultCount: 10,
      overrides: {
        portsFor: diskBroken((disk) => ({
          open: async (name) => (await disk.open(name)).map((file) => ({ ...file, sync: async () => ok(undefined) })),
        })),
      },
    },
  },
  {
    what: 'a losing change is retried on a newer base under its own id',
    rule: 'a losing change took effect',
    kinds: ['rival changes'],
    plan: {
      overrides: {
        onControlNodeStarted: (controlNode) => {
          const config = controlNode.changeService.changeConfig;
          loosened(controlNode.changeService).changeConfig = async (id, base, edit) => {
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
    what: 'rivals are both told that they won',
    rule: 'an accepted change is lost',
    kinds: ['rival changes'],
    plan: {
      overrides: {
        onControlNodeStarted: (controlNode) => {
          const config = controlNode.changeService.changeConfig;
          loosened(controlNode.changeService).changeConfig = async (id, base, edit) =>
            (await config(id, base, edit)).orElse((fault) =>
              fault.code === 'conflict' ? ok({ logIndex: base + 1, isRepeat: false }) : err(fault),
            );
        },
      },
    },
  },
  {
    what: 'leaving replicas are held to be ready',
    rule: 'a leaving replica got a request',
    kinds: ['replica leaves'],
    plan: {
      overrides: {
        onGatewayStarted: (gateway) => {
          loosened(gateway.stateView).applyReplicas = (
            (take) => (records: Parameters<typeof take>[0]) =>
              take(records.map((record) => ({ ...record, state: 'ready' as const })))
          )(gateway.stateView.applyReplicas);
        },
      },
    },
  },
  {
    what: 'extra shots are not counted',
    rule: 'extra shots',
    kinds: ['whole pool errs'],
    plan: {
      ratePerSecond: 60,
      faultCount: 3,
      overrides: {
        onGatewayStarted: (gateway) => {
          loosened(gateway.stages.sendStage).budgetOf = () => ({
            trySpend: () => true,
            recordFirstAttempt: () => {},
            remaining: () => 1,
          });
        },
      },
    },
  },
  {
    what: 'a counter that lost its control nodes never dials again',
    rule: 'service still mostly absent',
    kinds: ['all machines die', 'control nodes die in a herd'],
    plan: {
      faultCount: 3,
      overrides: {
        onGatewayStarted: (gateway) => {
          loosened(gateway.peerPool).stop = () => {};
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

const replaying = (splicesAt: number): ((httpClient: HttpClient) => Partial<HttpClient>) => {
  const heard = new Map<string, Uint8Array[]>();
  return (httpClient) => ({
    send: async (request) => {
      const response = await httpClient.send(request);
      if (response.isErr() || response.value.status !== 200 || !request.url.includes('/v1/')) return response;
      const prompt = promptIn(request.body as string | null);
      const own: Uint8Array[] = [];
      const other = heard.get(prompt) ?? own;
      heard.set(prompt, other);
      const body = async function* (): AsyncGenerator<Uint8Array> {
        let id = '';
        for await (const bytes of response.value.body) {
          own.push(bytes);
          const text = Buffer.from(bytes).toString('utf8');
          id = /"id":"([^"]+)"/.exec(text)?.[1] ?? id;
          const theirs = own.length > splicesAt ? other[own.length - 1] : undefined;
          yield theirs === undefined || text.includes('[DONE]')
            ? bytes
            : Buffer.from(
                Buffer.from(theirs)
                  .toString('utf8')
                  .replace(/"id":"[^"]+"/, `"id":"${id}"`),
              );
        }
      };
      return ok({ ...response.value, body: body() });
    },
  });
};

breaks.push(
  {
    what: "an equal prompt is answered with another request's run",
    rule: 'wrong or cut answer looks whole',
    kinds: ['layout changes'],
    plan: { faultCount: 1, overrides: { portsFor: carriageBroken(replaying(0)) } },
  },
  {
    what: 'two runs of one prompt are spliced',
    rule: 'wrong or cut answer looks whole',
    kinds: ['layout changes'],
    plan: { faultCount: 1, overrides: { portsFor: carriageBroken(replaying(2)) } },
  },
  {
    what: 'tiers change on paper but not towards replicas',
    rule: 'an accepted change is not in force',
    kinds: ['layout is probed'],
    plan: {
      faultCount: 2,
      overrides: {
        portsFor: carriageBroken((httpClient) => ({
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
    what: 'a losing or faulty change opens its lane all the same',
    rule: 'a losing change took effect',
    kinds: ['rival changes', 'layout is probed'],
    plan: {
      faultCount: 3,
      overrides: {
        onGatewayStarted: (gateway) => {
          const view = gateway.stateView.view;
          loosened(gateway.stateView).view = () => {
            const held = view();
            const query = held?.lanes.get('query');
            if (held === null || query === undefined) return held;
            const tenants = Object.assign(new Map(held.tenants), {
              get: (name: string) => {
                const tenant = held.tenants.get(name);
                return tenant === undefined || name !== 'prober'
                  ? tenant
                  : { ...tenant, lanes: new Set([...tenant.lanes, query.index]) };
              },
            });
            return {
              ...held,
              tenants,
              lanes: Object.assign(new Map(held.lanes), {
                get: (name: string) => held.lanes.get(name) ?? (/^(rival|probe)-/.test(name) ? query : undefined),
              }),
            };
          };
        },
      },
    },
  },
  {
    what: 'a key granted anew still runs for its first holder',
    rule: 'another tenant',
    kinds: ['key is revoked'],
    plan: {
      faultCount: 4,
      overrides: {
        onGatewayStarted: (gateway) => {
          const first = new Map<string, string>();
          const view = gateway.stateView.view;
          loosened(gateway.stateView).view = () => {
            const held = view();
            if (held === null) return null;
            for (const [hash, grant] of Object.entries(held.keys)) if (!first.has(hash)) first.set(hash, grant.tenant);
            return {
              ...held,
              keys: Object.fromEntries(
                Object.keys(held.keys).map((hash) => [hash, { tenant: first.get(hash) as string }]),
              ),
            };
          };
        },
      },
    },
  },
  {
    what: "a key that was never granted is taken for the first tenant's",
    rule: 'a key not granted',
    kinds: ['layout changes'],
    plan: {
      faultCount: 1,
      overrides: {
        onGatewayStarted: (gateway) => {
          const view = gateway.stateView.view;
          loosened(gateway.stateView).view = () => {
            const held = view();
            return held === null
              ? null
              : {
                  ...held,
                  keys: new Proxy(held.keys, {
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
    what: 'a restarted counter has a full purse',
    rule: 'extra shots',
    firstSeed: 2,
    kinds: ['counters die in a herd', 'whole pool errs'],
    plan: {
      ratePerSecond: 60,
      faultCount: 14,
      spanMs: 24_000,
      longShare: 0,
      overrides: {
        onGatewayStarted: (gateway) => {
          loosened(gateway.stages.sendStage).budgetOf = ((budgetOf) => (pool: string) => {
            const budget = budgetOf(pool) as { tokens: number; isFilled?: boolean };
            if (budget.isFilled !== true)
              Object.assign(budget, { isFilled: true, tokens: 40, recordFirstAttempt: () => {} });
            return budget;
          })(loosened(gateway.stages.sendStage).budgetOf as (pool: string) => unknown);
        },
      },
    },
  },
  {
    what: 'a machine lost for good takes the whole service with it',
    rule: 'service still mostly absent',
    kinds: ['layout changes'],
    plan: {
      faultCount: 1,
      permanentLoss: 'control node lost for good',
      overrides: {
        onGatewayStarted: (gateway) => {
          loosened(gateway.freshness).isFresh = () => gateway.freshness.freshNodeCount() === 3;
        },
      },
    },
  },
);

describe('the judge', () => {
  for (const broken of breaks) {
    const { what, rule, kinds, plan } = broken;
    it(`given a product broken so that ${what}, when storms come, then it tells: ${rule}`, async () => {
      const heard: string[] = [];
      for (const seed of seedsOf(broken)) {
        if (heard.includes(rule)) break;
        const report = await new FaultInjectionRun({ seed, kinds, faultCount: 6, ...plan }).run();
        heard.push(...report.violations.map((told) => told.rule));
      }
      expect(heard).to.include(rule);
    });
  }
});
