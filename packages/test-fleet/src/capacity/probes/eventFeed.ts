/** An HTTP client that serves cache events of replicas from memory, for probes of event followers. */
import { ok } from 'neverthrow';
import type { HttpClient, KvCacheEvent } from '@martenworks/core-types';

interface Queue {
  readonly chunks: Uint8Array[];
  wake: () => void;
}

/** Returns the server-sent event text that a replica sends for one event. */
export const eventBytes = ({ incarnation, seq, kind, tenant, blocks }: KvCacheEvent): string =>
  `data: ${JSON.stringify({ incarnation, seq, kind, tenant, blocks })}\n\n`;

/** Streams the bytes pushed for an address to the requests for it. */
export class EventFeed {
  private readonly queues = new Map<string, Queue>();

  /** Appends bytes to the stream of an address. */
  readonly push = (address: string, bytes: Uint8Array): void => {
    const queue = this.queueOf(address);
    queue.chunks.push(bytes);
    queue.wake();
  };

  /** A client whose responses stream the pushed bytes. */
  readonly httpClient: HttpClient = {
    close: async () => {},
    send: async ({ url, signal }) => {
      const queue = this.queueOf(new URL(url).host);
      signal.addEventListener('abort', () => queue.wake(), { once: true });
      return ok({ status: 200, headers: () => [], header: () => null, body: this.stream(queue, signal) });
    },
  };

  private readonly queueOf = (host: string): Queue => {
    const queue = this.queues.get(host) ?? { chunks: [], wake: () => {} };
    this.queues.set(host, queue);
    return queue;
  };

  private readonly stream = async function* (queue: Queue, signal: AbortSignal): AsyncGenerator<Uint8Array> {
    while (!signal.aborted) {
      for (let chunk = queue.chunks.shift(); chunk !== undefined; chunk = queue.chunks.shift()) yield chunk;
      await new Promise<void>((resolve) => (queue.wake = resolve));
    }
  };
}
