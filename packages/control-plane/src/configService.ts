import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { digests } from '@martenworks/core-types';
import type { Agreed, Change, ChangeBody, OperatorEdit, WaysInForce } from '@martenworks/core-types';
import { books } from '@martenworks/route-table';
import type { BookFault } from '@martenworks/route-table';
import type { Applied, ProposeFault, Proposer } from './proposer.js';

const patienceMs = 3_000;

export type EditOf = (held: WaysInForce | null) => Result<OperatorEdit, readonly BookFault[]>;

const rejected = (complaints: readonly BookFault[]): ProposeFault => ({ kind: 'rejected', complaints });

/** Takes the operator's changes of ways and names of weights; each is one agreed change, told apart by what was asked, so that the same one sent again is the same change. */
export class ConfigService {
  constructor(private readonly proposer: Proposer) {}

  private readonly put = (
    id: string,
    digest: string,
    bodyFor: (state: Agreed) => Result<ChangeBody, ProposeFault>,
  ): Promise<Result<Applied, ProposeFault>> =>
    this.proposer.propose(
      (state): Result<Change, ProposeFault> => bodyFor(state).map((body) => ({ id, digest, body })),
      id,
      digest,
      patienceMs,
    );

  readonly change = (
    kind: 'whole' | 'part',
    base: number,
    asked: unknown,
    editOf: EditOf,
  ): Promise<Result<Applied, ProposeFault>> => {
    const digest = digests.of([kind, asked]);
    return this.put(`ways/${digest}`, digest, (state) => {
      const edition = state.ways?.edition ?? 0;
      if (base !== edition)
        return err({ kind: 'conflict', layoutGeneration: edition, detail: `edition ${edition} is in force` });
      return editOf(state.ways)
        .mapErr(rejected)
        .andThen((edit) =>
          edit.edition > edition
            ? books
                .check(edit.book)
                .mapErr(rejected)
                .map(() => edit)
            : err(rejected([{ path: '/edition', message: `must be above ${edition}` }])),
        )
        .map(
          (edit): ChangeBody => ({
            kind: 'ways',
            base,
            ways: { edition: edit.edition, book: edit.book, source: edit.source },
          }),
        );
    });
  };

  readonly name = async (model: string, version: number): Promise<Result<Applied, ProposeFault>> => {
    const digest = digests.of(['weights', model, version]);
    return this.put(`weights/${model}/${version}`, digest, (state) => {
      const named = state.named[model] ?? 0;
      if (version === named) return ok({ kind: 'weights', model, version });
      return version > named
        ? ok({ kind: 'weights', model, version })
        : err(rejected([{ path: '/version', message: `must be above ${named}` }]));
    });
  };
}
