/** Last stage: relays a replica's pieces to the caller and notices when the stream is cut. */
import { background, timing } from '@martenworks/core-types';
import type { CompletionEvent } from '@martenworks/upstream';
import type { StageContext } from './stageContext.js';
import type { GatewayRequest } from '../gatewayRequest.js';

/** Resolves with the piece that ends the relay, once the request ends or is cut. */
const untilStopped = (request: GatewayRequest): Promise<CompletionEvent> =>
  new Promise((resolve) => {
    const stop = (): void => resolve({ kind: 'truncated', cause: request.cutCause ?? 'the request ended' });
    request.abortController.signal.addEventListener('abort', stop, { once: true });
  });

/** A response under an idempotency key may be asked for again. */
const keepForReplay = (request: GatewayRequest, piece: CompletionEvent): void => {
  if (request.claim !== null && piece.kind === 'chunk') request.relayedDatas.push(piece.data);
};

/** Makes the generators from which the callers' responses are read. */
export class RelayStage {
  constructor(private readonly context: StageContext) {}

  /** The stored pieces of a response that was given before under the same idempotency key. */
  readonly replay = async function* (
    request: GatewayRequest,
    datas: readonly string[],
  ): AsyncGenerator<CompletionEvent> {
    try {
      for (const data of datas) yield { kind: 'chunk', data };
      yield { kind: 'done' };
    } finally {
      request.end();
    }
  };

  private readonly nextPiece = (
    request: GatewayRequest,
    rest: AsyncGenerator<CompletionEvent>,
    stopped: Promise<CompletionEvent>,
  ): Promise<CompletionEvent> => {
    if (request.cutCause !== null) return Promise.resolve({ kind: 'truncated', cause: request.cutCause });
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
        cause: 'the replica sent nothing for too long',
      }),
    );
  };

  private readonly noteEnd = (request: GatewayRequest, replica: string, last: CompletionEvent): void => {
    const { metrics, replicaTracker } = this.context;
    if (last.kind === 'done') {
      metrics.add('finished');
      request.isWhole = true;
      return;
    }
    metrics.add('cut');
    if (request.cutCause === null && !request.isEnded) replicaTracker.failed(replica);
  };

  /** The pieces of a running attempt: the first, then the rest; `release` is called when the relay ends. */
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
      keepForReplay(request, first);
      yield first;
      for (;;) {
        const piece = await this.nextPiece(request, rest, stopped);
        keepForReplay(request, piece);
        if (piece.kind === 'chunk') {
          yield piece;
          continue;
        }
        this.noteEnd(request, replica, piece);
        yield piece.kind === 'done' ? piece : { kind: 'truncated', cause: piece.cause };
        return;
      }
    } finally {
      release();
      request.end();
      background.run('close a response body', rest.return(undefined));
    }
  };
}
