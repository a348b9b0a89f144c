/** A carriage that serves cache events of replicas from memory, for probes of the event followers. */
import { ok } from 'neverthrow';
import type { HttpClient, KvCacheEvent } from '@martenworks/core-types';

interface Queue {
  readonly parts: Uint8Array[];
  wake: () => void;
}

/** The bytes that a replica sends for one event. */
export const eventBytes = ({ incarnation, seq, kind, tenant, blocks }: KvCacheEvent): string =>
  `data: ${JSON.stringify({ incarnation, seq, kind, tenant, blocks })}\n\n`;

/** Streams to whoever asks a replica what was given for its address. */
export class EventFeed {
  private readonly queues = new Map<string, Queue>();

  /** Hands bytes to whoever follows the address. */
  readonly push = (address: string, bytes: Uint8Array): void => {
    const queue = this.queueOf(address);
    queue.parts.push(bytes);
    queue.wake();
  };

  /** The client whose responses stream what was given. */
  readonly httpClient: HttpClient = {
    close: async () => {},
    send: async ({ url, signal }) => {
      const queue = this.queueOf(new URL(url).host);
      signal.addEventListener('abort', () => queue.wake(), { once: true });
      return ok({ status: 200, headers: () => [], header: () => null, body: this.stream(queue, signal) });
    },
  };

  private readonly queueOf = (host: string): Queue => {
    const queue = this.queues.get(host) ?? { parts: [], wake: () => {} };
    this.queues.set(host, queue);
    return queue;
  };

  private readonly stream = async function* (queue: Queue, signal: AbortSignal): AsyncGenerator<Uint8Array> {
    while (!signal.aborted) {
      for (let part = queue.parts.shift(); part !== undefined; part = queue.parts.shift()) yield part;
      await new Promise<void>((wake) => (queue.wake = wake));
    }
  };
}
