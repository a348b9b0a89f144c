/** Last stage: relays a replica's pieces to the caller and notices when the stream is cut. */
import { background, timing } from '@martenworks/core-types';
import type { Piece } from '@martenworks/upstream';
import type { StageContext } from './stageContext.js';
import type { GatewayRequest } from '../gatewayRequest.js';

/** Resolves with the piece that ends the relay, once the request ends or is cut. */
const untilStopped = (request: GatewayRequest): Promise<Piece> =>
  new Promise((resolve) => {
    const stop = (): void => resolve({ kind: 'cut', cause: request.cutCause ?? 'the request ended' });
    request.abortController.signal.addEventListener('abort', stop, { once: true });
  });

/** A response under an idempotency key may be asked for again. */
const keepForReplay = (request: GatewayRequest, piece: Piece): void => {
  if (request.claim !== null && piece.kind === 'piece') request.relayedDatas.push(piece.data);
};

/** Makes the generators from which the callers' responses are read. */
export class RelayStage {
  constructor(private readonly context: StageContext) {}

  /** The stored pieces of a response that was given before under the same idempotency key. */
  readonly replay = async function* (request: GatewayRequest, datas: readonly string[]): AsyncGenerator<Piece> {
    try {
      for (const data of datas) yield { kind: 'piece', data };
      yield { kind: 'done' };
    } finally {
      request.end();
    }
  };

  private readonly nextPiece = (
    request: GatewayRequest,
    rest: AsyncGenerator<Piece>,
    stopped: Promise<Piece>,
  ): Promise<Piece> => {
    if (request.cutCause !== null) return Promise.resolve({ kind: 'cut', cause: request.cutCause });
    const next = rest
      .next()
      .then(
        (step): Piece =>
          step.done === true ? { kind: 'cut', cause: 'the stream ended without its end marker' } : step.value,
      );
    return timing.withTimeout<Piece>(
      this.context.ports.clock,
      this.context.settings.stallMs,
      Promise.race([next, stopped]),
      () => ({
        kind: 'cut',
        cause: 'the replica sent nothing for too long',
      }),
    );
  };

  private readonly noteEnd = (request: GatewayRequest, replica: string, last: Piece): void => {
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
    first: Piece,
    rest: AsyncGenerator<Piece>,
    release: () => void,
  ): AsyncGenerator<Piece> {
    const stopped = untilStopped(request);
    try {
      keepForReplay(request, first);
      yield first;
      for (;;) {
        const piece = await this.nextPiece(request, rest, stopped);
        keepForReplay(request, piece);
        if (piece.kind === 'piece') {
          yield piece;
          continue;
        }
        this.noteEnd(request, replica, piece);
        yield piece.kind === 'done' ? piece : { kind: 'cut', cause: piece.cause };
        return;
      }
    } finally {
      release();
      request.end();
      background.run('close a response body', rest.return(undefined));
    }
  };
}
