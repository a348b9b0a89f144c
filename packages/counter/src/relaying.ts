import { background, pause } from '@martenworks/core-types';
import type { Piece } from '@martenworks/upstream';
import type { Bench } from './bench.js';
import type { Parcel } from './parcel.js';

export class Relaying {
  constructor(private readonly bench: Bench) {}

  readonly replay = async function* (parcel: Parcel, datas: readonly string[]): AsyncGenerator<Piece> {
    try {
      for (const data of datas) yield { kind: 'piece', data };
      yield { kind: 'done' };
    } finally {
      parcel.end();
    }
  };

  private readonly nextPiece = (
    parcel: Parcel,
    rest: AsyncGenerator<Piece>,
    stopped: Promise<Piece>,
  ): Promise<Piece> => {
    if (parcel.cutCause !== null) return Promise.resolve({ kind: 'cut', cause: parcel.cutCause });
    const next = rest
      .next()
      .then(
        (step): Piece =>
          step.done === true ? { kind: 'cut', cause: 'the stream ended without its end marker' } : step.value,
      );
    return pause.within<Piece>(this.bench.ports.clock, this.bench.env.stallMs, Promise.race([next, stopped]), () => ({
      kind: 'cut',
      cause: 'the replica fell silent',
    }));
  };

  readonly relay = async function* (
    this: Relaying,
    parcel: Parcel,
    replica: string,
    first: Piece,
    rest: AsyncGenerator<Piece>,
    release: () => void,
  ): AsyncGenerator<Piece> {
    const stopped = new Promise<Piece>((settle) => {
      parcel.quit.signal.addEventListener(
        'abort',
        () => settle({ kind: 'cut', cause: parcel.cutCause ?? 'the stream was given up' }),
        { once: true },
      );
    });
    const keep = (piece: Piece): void => {
      if (parcel.claim !== null && piece.kind === 'piece') parcel.keptDatas.push(piece.data);
    };
    try {
      keep(first);
      yield first;
      for (;;) {
        const piece = await this.nextPiece(parcel, rest, stopped);
        keep(piece);
        if (piece.kind === 'piece') {
          yield piece;
          continue;
        }
        if (piece.kind === 'done') {
          this.bench.tally.add('finished');
          parcel.isWhole = true;
          yield piece;
          return;
        }
        this.bench.tally.add('cut');
        if (parcel.cutCause === null && !parcel.isEnded) this.bench.tracks.failed(replica);
        yield { kind: 'cut', cause: piece.cause };
        return;
      }
    } finally {
      release();
      parcel.end();
      background.run('close a response body', rest.return(undefined));
    }
  };
}
