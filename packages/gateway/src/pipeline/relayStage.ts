/** Last stage: relays a replica's response to the caller and detects truncation. */
import { background, timing } from '@martenworks/core-types';
import type { CompletionEvent } from '@martenworks/upstream';
import type { StageContext } from './stageContext.js';
import type { GatewayRequest } from '../gatewayRequest.js';

/** Resolves with the event that ends the relay, once the request has ended or its response is truncated. */
const untilStopped = (request: GatewayRequest): Promise<CompletionEvent> =>
  new Promise((resolve) => {
    const stop = (): void => resolve({ kind: 'truncated', cause: request.truncationCause ?? 'the request ended' });
    request.abortController.signal.addEventListener('abort', stop, { once: true });
  });

/** Stores a chunk of a request with an idempotency key, whose response may be replayed. */
const storeForReplay = (request: GatewayRequest, event: CompletionEvent): void => {
  if (request.claim !== null && event.kind === 'chunk') request.relayedChunks.push(event.data);
};

/** Creates the generators that produce the callers' responses. */
export class RelayStage {
  constructor(private readonly context: StageContext) {}

  /** Replays the stored chunks of an earlier response to the same idempotency key. */
  readonly replay = async function* (
    request: GatewayRequest,
    chunks: readonly string[],
  ): AsyncGenerator<CompletionEvent> {
    try {
      for (const data of chunks) yield { kind: 'chunk', data };
      yield { kind: 'done' };
    } finally {
      request.end();
    }
  };

  private readonly nextEvent = (
    request: GatewayRequest,
    rest: AsyncGenerator<CompletionEvent>,
    stopped: Promise<CompletionEvent>,
  ): Promise<CompletionEvent> => {
    if (request.truncationCause !== null) return Promise.resolve({ kind: 'truncated', cause: request.truncationCause });
    const next = rest
      .next()
      .then(
        (step): CompletionEvent =>
          step.done === true ? { kind: 'truncated', cause: 'the stream ended without its end marker' } : step.value,
      );
    return timing.withTimeout<CompletionEvent>(
      this.context.ports.clock,
      this.context.settings.stallMs,
      Promise.race([next, stopped]),
      () => ({
        kind: 'truncated',
        cause: 'the replica sent nothing within the idle timeout',
      }),
    );
  };

  private readonly recordEnd = (request: GatewayRequest, replica: string, last: CompletionEvent): void => {
    const { metrics, replicaTracker } = this.context;
    if (last.kind === 'done') {
      metrics.add('finished');
      request.isComplete = true;
      return;
    }
    metrics.add('cut');
    if (request.truncationCause === null && !request.isEnded) replicaTracker.recordFailure(replica);
  };

  /** Relays the events of an attempt: the first chunk, then the rest; calls `release` when the relay ends. */
  readonly relay = async function* (
    this: RelayStage,
    request: GatewayRequest,
    replica: string,
    first: CompletionEvent,
    rest: AsyncGenerator<CompletionEvent>,
    release: () => void,
  ): AsyncGenerator<CompletionEvent> {
    const stopped = untilStopped(request);
    try {
      storeForReplay(request, first);
      yield first;
      for (;;) {
        const event = await this.nextEvent(request, rest, stopped);
        storeForReplay(request, event);
        if (event.kind === 'chunk') {
          yield event;
          continue;
        }
        this.recordEnd(request, replica, event);
        yield event.kind === 'done' ? event : { kind: 'truncated', cause: event.cause };
        return;
      }
    } finally {
      release();
      request.end();
      background.run('close a response body', rest.return(undefined));
    }
  };
}
