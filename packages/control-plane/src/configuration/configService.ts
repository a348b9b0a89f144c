/** Proposes changes of the routing table and of the target versions of weights to the consensus group. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { digests } from '@martenworks/core-types';
import type { CommittedState, Change, ChangeBody, ConfigurationChange, ActiveRouting } from '@martenworks/core-types';
import { routingTables } from '@martenworks/route-table';
import type { RoutingTableError } from '@martenworks/route-table';
import type { AppliedChange, Proposer } from '../consensus/proposer.js';
import { proposalErrors } from '../errors.js';
import type { ProposalError } from '../errors.js';

const timeoutMs = 700;
const bytesPerExtraMs = 4_000;
const weightsTimeoutMs = 700;

type EditFunction = (current: ActiveRouting | null) => Result<ConfigurationChange, readonly RoutingTableError[]>;

/** An operator's request to change the configuration. */
export interface ConfigChangeRequest {
  readonly kind: 'whole' | 'part';
  /** The configuration version that the change is based on. */
  readonly base: number;
  /** The configuration version that the change creates. */
  readonly configVersion: number;
  /** The parsed request body; together with `kind` and `base` it identifies the change. */
  readonly requestBody: unknown;
  /** Size of the request body. */
  readonly byteCount: number;
  /** Applies the edit to the current routing. */
  readonly applyTo: EditFunction;
}

/** Adds validation of the resulting routing table to an edit, and caches the result for the last routing. */
const withCachedCheck = (applyTo: EditFunction): EditFunction => {
  let last: { readonly current: ActiveRouting | null; readonly outcome: ReturnType<EditFunction> } | null = null;
  return (current) => {
    if (last === null || last.current !== current)
      last = { current, outcome: applyTo(current).andThen((edit) => routingTables.check(edit.table).map(() => edit)) };
    return last.outcome;
  };
};

/**
 * Proposes an operator's changes of the configuration and of target weights. The change id is derived from the request
 * and its base version, so that a repeated request counts as the same change.
 */
export class ConfigService {
  constructor(private readonly proposer: Proposer) {}

  private readonly propose = (
    id: string,
    digest: string,
    proposalTimeoutMs: number,
    createBody: (state: CommittedState) => Result<ChangeBody, ProposalError>,
  ): Promise<Result<AppliedChange, ProposalError>> =>
    this.proposer.propose(
      (state): Result<Change, ProposalError> => createBody(state).map((body) => ({ id, digest, body })),
      id,
      digest,
      proposalTimeoutMs,
    );

  /**
   * Changes the configuration; returns within 700 ms plus 1 ms for each 4,000 bytes. Fails with `conflict` if `base` is
   * not the current configuration version, `rejected` if the edit is invalid, `unknown` if the change may have been
   * committed, and `unavailable` if it was not.
   */
  readonly change = ({
    kind,
    base,
    configVersion,
    requestBody,
    byteCount,
    applyTo,
  }: ConfigChangeRequest): Promise<Result<AppliedChange, ProposalError>> => {
    const digest = digests.ofCanonical([kind, base, requestBody]);
    const id = `ways/${digest}`;
    const checked = withCachedCheck(applyTo);
    return this.propose(id, digest, timeoutMs + byteCount / bytesPerExtraMs, (state) => {
      const currentVersion = state.routing?.configVersion ?? 0;
      if (base !== currentVersion) {
        const mayBeForgotten = base < configVersion && configVersion <= state.forgotten.configVersion;
        return err(
          mayBeForgotten
            ? proposalErrors.unknown(id)
            : proposalErrors.conflict(currentVersion, `configuration version ${currentVersion} is in force`),
        );
      }
      if (configVersion <= currentVersion)
        return err(proposalErrors.rejected([{ path: '/edition', message: `must be above ${currentVersion}` }]));
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

  /** Sets the target version of a model's weights; returns within 700 ms, with the errors of `change`. */
  readonly setTargetWeights = (model: string, version: number): Promise<Result<AppliedChange, ProposalError>> => {
    const digest = digests.of(['weights', model, version]);
    const id = `weights/${model}/${version}`;
    return this.propose(id, digest, weightsTimeoutMs, (state) => {
      const currentTarget = state.targetWeights[model] ?? 0;
      if (version >= currentTarget) return ok({ kind: 'weights', model, version });
      const mayBeForgotten = version <= (state.forgotten.targetWeights[model] ?? 0);
      return err(
        mayBeForgotten
          ? proposalErrors.unknown(id)
          : proposalErrors.rejected([{ path: '/version', message: `must be above ${currentTarget}` }]),
      );
    });
  };
}
