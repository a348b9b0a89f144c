/** The events with which an emulated replica reports its cached blocks, as a stream of server-sent events. */
import type { Clock } from '@martenworks/core-types';
import type { ReplicaFaults } from './replicaRecords.js';

const maxEvents = 50_000;
const encoder = new TextEncoder();

/** One change of the cache; `tenant` is null if the blocks are shared by all tenants that are not isolated. */
interface CacheEvent {
  readonly incarnation: number;
  readonly seq: number;
  readonly kind: 'stored' | 'removed' | 'cleared';
  readonly tenant: string | null;
  readonly blocks: readonly string[];
}

const frameOf = (event: object): Uint8Array => encoder.encode(`data: ${JSON.stringify(event)}\n\n`);

/** Stores and streams the events; they are numbered from 1 within an incarnation. */
export class CacheEventLog {
  private readonly events: CacheEvent[] = [];
  private readonly listeners = new Set<(event: CacheEvent) => void>();
  private seq = 0;

  constructor(
    private readonly incarnation: number,
    private readonly faults: ReplicaFaults,
    private readonly clock: Clock,
  ) {}

  /** Returns the sequence number of the last event. */
  readonly lastSeq = (): number => this.seq;

  /** Records an event and sends it to all subscribers, unless a fault hides, drops or delays it. */
  readonly publish = (kind: CacheEvent['kind'], tenant: string | null, blocks: readonly string[]): void => {
    if (this.faults.hidesEvents) return;
    const event: CacheEvent = { incarnation: this.incarnation, seq: ++this.seq, kind, tenant, blocks };
    this.events.push(event);
    if (this.events.length > maxEvents) this.events.shift();
    if (this.faults.dropsEvents) return;
    for (const listener of this.listeners) {
      if (this.faults.eventDelayMs === 0) listener(event);
      else this.clock.after(this.faults.eventDelayMs, () => listener(event));
    }
  };

  /**
   * Streams the events after the given sequence number and all new ones, until the signal aborts or the reader cancels.
   */
  readonly stream = (after: number, signal: AbortSignal): Response => {
    let listener: ((event: CacheEvent) => void) | null = null;
    const unsubscribe = (): void => {
      if (listener !== null) this.listeners.delete(listener);
    };
    const body = new ReadableStream<Uint8Array>({
      start: (controller) => {
        listener = this.listenerFor(controller, unsubscribe);
        controller.enqueue(frameOf({ incarnation: this.incarnation, seq: this.seq, kind: 'hello' }));
        for (const event of this.events) if (event.seq > after) listener(event);
        this.listeners.add(listener);
        signal.addEventListener('abort', unsubscribe, { once: true });
      },
      cancel: unsubscribe,
    });
    return new Response(body, { headers: { 'content-type': 'text/event-stream' } });
  };

  /** Unsubscribes once the reader has closed the stream. */
  private readonly listenerFor =
    (controller: ReadableStreamDefaultController<Uint8Array>, unsubscribe: () => void) =>
    (event: CacheEvent): void => {
      try {
        controller.enqueue(frameOf(event));
      } catch {
        unsubscribe();
      }
    };
}
