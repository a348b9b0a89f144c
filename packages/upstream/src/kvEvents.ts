/** Subscribes to the cache event stream of a replica. */
import { background, timing } from '@martenworks/core-types';
import type { HttpClient, Clock, KvCacheEvent, Log, Random } from '@martenworks/core-types';
import { replicaProtocol } from './replicaProtocol.js';

const eventKinds = new Set(['hello', 'stored', 'removed', 'cleared']);

const parseEvent = (replica: string, data: string): KvCacheEvent | null => {
  let fields: Record<string, unknown>;
  try {
    fields = JSON.parse(data) as Record<string, unknown>;
  } catch {
    return null;
  }
  const { incarnation, seq, kind, tenant, blocks } = fields;
  if (!Number.isInteger(incarnation) || !Number.isInteger(seq) || typeof kind !== 'string' || !eventKinds.has(kind))
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

/** A running subscription; `stop` ends it. */
export interface KvEventSubscription {
  readonly stop: () => void;
}

/**
 * Subscribes to `/kv-events` (server-sent events). When the stream breaks, it resumes after `lastSeq`, with exponential
 * backoff from 100 ms to 2 s and jitter. Malformed events are skipped.
 */
export const kvEvents = {
  subscribe: (
    httpClient: HttpClient,
    clock: Clock,
    random: Random,
    log: Log,
    replica: string,
    address: string,
    lastSeq: () => number,
    onEvent: (event: KvCacheEvent) => void,
  ): KvEventSubscription => {
    const stopped = new AbortController();
    const run = async (): Promise<void> => {
      let backoffMs = 100;
      while (!stopped.signal.aborted) {
        const response = await httpClient.send({
          method: 'GET',
          url: `http://${address}/kv-events?after=${lastSeq()}`,
          headers: { accept: 'text/event-stream' },
          body: null,
          signal: stopped.signal,
          gate: () => true,
        });
        if (response.isOk() && response.value.status === 200) {
          backoffMs = 100;
          try {
            for await (const data of replicaProtocol.events(response.value.body)) {
              const event = parseEvent(replica, data);
              if (event !== null) onEvent(event);
            }
          } catch {
            log.info('kv-events stream broke', { replica });
          }
        }
        if (stopped.signal.aborted) return;
        await timing.sleep(clock, backoffMs * (0.5 + random.fraction()));
        backoffMs = Math.min(backoffMs * 2, 2_000);
      }
    };
    background.run('follow cache events', run());
    return { stop: () => stopped.abort() };
  },
};
