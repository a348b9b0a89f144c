/** Changes of the routing table and of the target weights' versions, as proposals to the consensus group. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { digests } from '@martenworks/core-types';
import type { CommittedState, Change, ChangeBody, ConfigurationChange, ActiveRouting } from '@martenworks/core-types';
import { routingTables } from '@martenworks/route-table';
import type { RoutingTableError } from '@martenworks/route-table';
import type { Applied, Proposer } from '../consensus/proposer.js';
import { proposalErrors } from '../errors.js';
import type { ProposalError } from '../errors.js';

const timeoutMs = 700;
const bytesPerExtraMs = 4_000;
const nameTimeoutMs = 700;

type EditOf = (held: ActiveRouting | null) => Result<ConfigurationChange, readonly RoutingTableError[]>;

/** One order of the operator to change the configuration. */
export interface ConfigChangeRequest {
  readonly kind: 'whole' | 'part';
  /** The configuration version it builds on. */
  readonly base: number;
  /** The configuration version it would bring into force. */
  readonly configVersion: number;
  /** The parsed body: with kind and base, the identity of the order. */
  readonly requestBody: unknown;
  readonly byteCount: number;
  readonly editOf: EditOf;
}

/** The edit as checked against the configuration in force, computed once for each that is met. */
const checkedOnce = (editOf: EditOf): EditOf => {
  let last: { readonly held: ActiveRouting | null; readonly outcome: ReturnType<EditOf> } | null = null;
  return (held) => {
    if (last === null || last.held !== held)
      last = { held, outcome: editOf(held).andThen((edit) => routingTables.check(edit.table).map(() => edit)) };
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
    bodyFor: (state: CommittedState) => Result<ChangeBody, ProposalError>,
  ): Promise<Result<Applied, ProposalError>> =>
    this.proposer.propose(
      (state): Result<Change, ProposalError> => bodyFor(state).map((body) => ({ id, digest, body })),
      id,
      digest,
      withinMs,
    );

  /** Answers within 700 ms and 1 ms more for each 4,000 bytes. Faults: `conflict` where another configuration version is in force, `rejected` where the edit is invalid, `unknown` where it may have been taken, `unavailable` where it was not. */
  readonly change = ({
    kind,
    base,
    configVersion,
    requestBody,
    byteCount,
    editOf,
  }: ConfigChangeRequest): Promise<Result<Applied, ProposalError>> => {
    const digest = digests.ofCanonical([kind, base, requestBody]);
    const id = `ways/${digest}`;
    const checked = checkedOnce(editOf);
    return this.put(id, digest, timeoutMs + byteCount / bytesPerExtraMs, (state) => {
      const inForce = state.routing?.configVersion ?? 0;
      if (base !== inForce) {
        const mayBeForgotten = base < configVersion && configVersion <= state.forgotten.configVersion;
        return err(
          mayBeForgotten
            ? proposalErrors.unknown(id)
            : proposalErrors.conflict(inForce, `edition ${inForce} is in force`),
        );
      }
      if (configVersion <= inForce)
        return err(proposalErrors.rejected([{ path: '/edition', message: `must be above ${inForce}` }]));
      return checked(state.routing)
        .mapErr(proposalErrors.rejected)
        .map(
          (edit): ChangeBody => ({
            kind: 'routing',
            base,
            routing: { configVersion: edit.configVersion, table: edit.table, source: edit.source },
          }),
        );
    });
  };

  /** Names the version of a model's weights; faults as for `change`, within 700 ms. */
  readonly setTargetWeights = (model: string, version: number): Promise<Result<Applied, ProposalError>> => {
    const digest = digests.of(['weights', model, version]);
    const id = `weights/${model}/${version}`;
    return this.put(id, digest, nameTimeoutMs, (state) => {
      const named = state.targetWeights[model] ?? 0;
      if (version >= named) return ok({ kind: 'weights', model, version });
      const mayBeForgotten = version <= (state.forgotten.targetWeights[model] ?? 0);
      return err(
        mayBeForgotten
          ? proposalErrors.unknown(id)
          : proposalErrors.rejected([{ path: '/version', message: `must be above ${named}` }]),
      );
    });
  };
}
