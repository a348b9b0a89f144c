import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { digests } from '@martenworks/core-types';
import type { Agreed, Change, ChangeBody, OperatorEdit, WaysInForce } from '@martenworks/core-types';
import { books } from '@martenworks/route-table';
import type { BookFault } from '@martenworks/route-table';
import type { Applied, ProposeFault, Proposer } from './proposer.js';

const patienceMs = 700;
const bytesPerExtraMs = 4_000;
const namePatienceMs = 700;

type EditOf = (held: WaysInForce | null) => Result<OperatorEdit, readonly BookFault[]>;

/** One order of the operator to change the configuration. */
export interface ConfigOrder {
  readonly kind: 'whole' | 'part';
  /** The edition it builds on. */
  readonly base: number;
  /** The edition it would bring into force. */
  readonly edition: number;
  /** The parsed body: with kind and base, the identity of the order. */
  readonly asked: unknown;
  readonly byteCount: number;
  readonly editOf: EditOf;
}

const rejected = (complaints: readonly BookFault[]): ProposeFault => ({ kind: 'rejected', complaints });

/** The edit as checked against the configuration in force, computed once for each that is met. */
const checkedOnce = (editOf: EditOf): EditOf => {
  let last: { readonly held: WaysInForce | null; readonly outcome: ReturnType<EditOf> } | null = null;
  return (held) => {
    if (last === null || last.held !== held)
      last = { held, outcome: editOf(held).andThen((edit) => books.check(edit.book).map(() => edit)) };
    return last.outcome;
  };
};

/** Takes the operator's changes of the configuration and names of weights; each is one agreed change, told apart by what was asked and on which base, so that the same one sent again is the same change. */
export class ConfigService {
  constructor(private readonly proposer: Proposer) {}

  private readonly put = (
    id: string,
    digest: string,
    withinMs: number,
    bodyFor: (state: Agreed) => Result<ChangeBody, ProposeFault>,
  ): Promise<Result<Applied, ProposeFault>> =>
    this.proposer.propose(
      (state): Result<Change, ProposeFault> => bodyFor(state).map((body) => ({ id, digest, body })),
      id,
      digest,
      withinMs,
    );

  /** Answers within 700 ms and 1 ms more for each 4,000 bytes. Faults: `conflict` where another edition is in force, `rejected` where the edit is invalid, `unknown` where it may have been taken, `unavailable` where it was not. */
  readonly change = ({
    kind,
    base,
    edition,
    asked,
    byteCount,
    editOf,
  }: ConfigOrder): Promise<Result<Applied, ProposeFault>> => {
    const digest = digests.ofCanonical([kind, base, asked]);
    const id = `ways/${digest}`;
    const checked = checkedOnce(editOf);
    return this.put(id, digest, patienceMs + byteCount / bytesPerExtraMs, (state) => {
      const inForce = state.ways?.edition ?? 0;
      if (base !== inForce) {
        const mayBeForgotten = base < edition && edition <= state.forgotten.edition;
        return err(
          mayBeForgotten
            ? { kind: 'unknown', changeId: id }
            : { kind: 'conflict', layoutGeneration: inForce, detail: `edition ${inForce} is in force` },
        );
      }
      if (edition <= inForce) return err(rejected([{ path: '/edition', message: `must be above ${inForce}` }]));
      return checked(state.ways)
        .mapErr(rejected)
        .map(
          (edit): ChangeBody => ({
            kind: 'ways',
            base,
            ways: { edition: edit.edition, book: edit.book, source: edit.source },
          }),
        );
    });
  };

  /** Names the version of a model's weights; faults as for `change`, within 700 ms. */
  readonly name = (model: string, version: number): Promise<Result<Applied, ProposeFault>> => {
    const digest = digests.of(['weights', model, version]);
    const id = `weights/${model}/${version}`;
    return this.put(id, digest, namePatienceMs, (state) => {
      const named = state.named[model] ?? 0;
      if (version >= named) return ok({ kind: 'weights', model, version });
      const mayBeForgotten = version <= (state.forgotten.named[model] ?? 0);
      return err(
        mayBeForgotten
          ? { kind: 'unknown', changeId: id }
          : rejected([{ path: '/version', message: `must be above ${named}` }]),
      );
    });
  };
}
