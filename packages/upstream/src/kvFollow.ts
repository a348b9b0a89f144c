import { background, pause } from '@martenworks/core-types';
import type { Carriage, Clock, KvNews, Log, Random } from '@martenworks/core-types';
import { backWire } from './backWire.js';

const newsKinds = new Set(['hello', 'stored', 'removed', 'cleared']);

const newsOf = (replica: string, data: string): KvNews | null => {
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
    kind: kind as KvNews['kind'],
    tenant: tenant === null || typeof tenant === 'string' ? tenant : undefined,
    blocks: Array.isArray(blocks) ? blocks.filter((block): block is string => typeof block === 'string') : [],
  };
};

export interface Follower {
  readonly stop: () => void;
}

export const kvFollow = {
  follow: (
    carriage: Carriage,
    clock: Clock,
    random: Random,
    log: Log,
    replica: string,
    address: string,
    after: () => number,
    take: (news: KvNews) => void,
  ): Follower => {
    const quit = new AbortController();
    const run = async (): Promise<void> => {
      let waitMs = 100;
      while (!quit.signal.aborted) {
        const receipt = await carriage.carry({
          method: 'GET',
          url: `http://${address}/kv-events?after=${after()}`,
          headers: { accept: 'text/event-stream' },
          body: null,
          signal: quit.signal,
          gate: () => true,
        });
        if (receipt.isOk() && receipt.value.status === 200) {
          waitMs = 100;
          try {
            for await (const data of backWire.events(receipt.value.body)) {
              const news = newsOf(replica, data);
              if (news !== null) take(news);
            }
          } catch {
            log.info('kv-events stream broke', { replica });
          }
        }
        if (quit.signal.aborted) return;
        await pause.for(clock, waitMs * (0.5 + random.fraction()));
        waitMs = Math.min(waitMs * 2, 2_000);
      }
    };
    background.run('follow cache events', run());
    return { stop: () => quit.abort() };
  },
};
