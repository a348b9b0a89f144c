/** Follows the stream of cache events of one replica and reconnects where it breaks. */
import { background, timing } from '@martenworks/core-types';
import type { HttpClient, Clock, KvCacheEvent, Log, Random } from '@martenworks/core-types';
import { replicaProtocol } from './replicaProtocol.js';

const newsKinds = new Set(['hello', 'stored', 'removed', 'cleared']);

const newsOf = (replica: string, data: string): KvCacheEvent | null => {
  let told: Record<string, unknown>;
  try {
    told = JSON.parse(data) as Record<string, unknown>;
  } catch {
    return null;
  }
  const { incarnation, seq, kind, tenant, blocks } = told;
  if (!Number.isInteger(incarnation) || !Number.isInteger(seq) || typeof kind !== 'string' || !newsKinds.has(kind))
    return null;
  return {
    replica,
    incarnation: incarnation as number,
    seq: seq as number,
    kind: kind as KvCacheEvent['kind'],
    tenant: tenant === null || typeof tenant === 'string' ? tenant : undefined,
    blocks: Array.isArray(blocks) ? blocks.filter((block): block is string => typeof block === 'string') : [],
  };
};

/** A running subscription; `stop` ends it for good. */
export interface KvEventSubscription {
  readonly stop: () => void;
}

/**
 * Subscribes to `/kv-events`. Reconnects after the last sequence number with a doubling pause of 100 ms to 2 s;
 * malformed events are skipped.
 */
export const kvEvents = {
  subscribe: (
    httpClient: HttpClient,
    clock: Clock,
    random: Random,
    log: Log,
    replica: string,
    address: string,
    after: () => number,
    take: (update: KvCacheEvent) => void,
  ): KvEventSubscription => {
    const quit = new AbortController();
    const run = async (): Promise<void> => {
      let waitMs = 100;
      while (!quit.signal.aborted) {
        const response = await httpClient.send({
          method: 'GET',
          url: `http://${address}/kv-events?after=${after()}`,
          headers: { accept: 'text/event-stream' },
          body: null,
          signal: quit.signal,
          gate: () => true,
        });
        if (response.isOk() && response.value.status === 200) {
          waitMs = 100;
          try {
            for await (const data of replicaProtocol.events(response.value.body)) {
              const update = newsOf(replica, data);
              if (update !== null) take(update);
            }
          } catch {
            log.info('kv-events stream broke', { replica });
          }
        }
        if (quit.signal.aborted) return;
        await timing.sleep(clock, waitMs * (0.5 + random.fraction()));
        waitMs = Math.min(waitMs * 2, 2_000);
      }
    };
    background.run('follow cache events', run());
    return { stop: () => quit.abort() };
  },
};
