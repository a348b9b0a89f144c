/**
 * The errors of this package. Each has a `kind` that tells its type, and a `code` that stays the same between releases.
 * Errors of the disk and the network pass through as core-types and the write-ahead log define them.
 */
import type { NetworkError } from '@martenworks/core-types';
import type { ValidationIssue } from '@martenworks/settings';
import type { WriteAheadLogError } from '@martenworks/write-ahead-log';

/** The change does not fit the committed state: it builds on another version than `configLogIndex`, or reuses an id. */
export interface ConflictError {
  readonly kind: 'proposal';
  readonly code: 'conflict';
  readonly configLogIndex: number;
  readonly detail: string;
}

/** The change is invalid on the committed state; `complaints` name the places. */
export interface RejectedError {
  readonly kind: 'proposal';
  readonly code: 'rejected';
  readonly complaints: readonly ValidationIssue[];
}

/** The change may or may not be committed; sending it again under the same id is safe. */
export interface UnknownOutcomeError {
  readonly kind: 'proposal';
  readonly code: 'unknown';
  readonly changeId: string;
}

/** The change was offered to no acceptor and will not be committed. */
export interface UnavailableError {
  readonly kind: 'proposal';
  readonly code: 'unavailable';
  readonly detail: string;
}

/** Why a proposed change was not confirmed as committed. */
export type ProposalError = ConflictError | RejectedError | UnknownOutcomeError | UnavailableError;

/** Replica records were not announced. `disk`: this node's disk failed; `unknown`: no majority has confirmed them yet. */
export interface AnnouncementError {
  readonly kind: 'announcement';
  readonly code: 'disk' | 'unknown';
}

/** A state was not recovered onto new members. */
export interface MemberRecoveryError {
  readonly kind: 'recovery';
  readonly code: 'no_state' | 'not_a_member' | 'duplicate_members' | 'disk';
  readonly detail: string;
}

/** Why a recovery failed; a damaged log is refused as it stands. */
export type RecoveryError = WriteAheadLogError | MemberRecoveryError;

/** Why a control node did not start: its logs, or the address it listens on. */
export type StartError = NetworkError | WriteAheadLogError;

/** Makes the errors of a proposal. */
export const proposalErrors = {
  conflict: (configLogIndex: number, detail: string): ConflictError => ({
    kind: 'proposal',
    code: 'conflict',
    configLogIndex,
    detail,
  }),
  rejected: (complaints: readonly ValidationIssue[]): RejectedError => ({
    kind: 'proposal',
    code: 'rejected',
    complaints,
  }),
  unknown: (changeId: string): UnknownOutcomeError => ({ kind: 'proposal', code: 'unknown', changeId }),
  unavailable: (detail: string): UnavailableError => ({ kind: 'proposal', code: 'unavailable', detail }),
};
