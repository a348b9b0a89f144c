/**
 * The errors of this package. Each has a `kind` that identifies its type, and a `code` that is stable between releases.
 * Disk and network errors are passed on as the write-ahead log and core-types define them.
 */
import type { NetworkError } from '@martenworks/core-types';
import type { ValidationIssue } from '@martenworks/settings';
import type { WriteAheadLogError } from '@martenworks/write-ahead-log';

/**
 * The change conflicts with the committed state: it is based on another version than `configLogIndex`, or reuses an id.
 */
export interface ConflictError {
  readonly kind: 'proposal';
  readonly code: 'conflict';
  readonly configLogIndex: number;
  readonly detail: string;
}

/** The change is invalid for the committed state; `complaints` lists the validation issues. */
export interface RejectedError {
  readonly kind: 'proposal';
  readonly code: 'rejected';
  readonly complaints: readonly ValidationIssue[];
}

/** The change may or may not be committed; it is safe to send it again with the same id. */
export interface UnknownOutcomeError {
  readonly kind: 'proposal';
  readonly code: 'unknown';
  readonly changeId: string;
}

/** The change was proposed to no acceptor and will not be committed. */
export interface UnavailableError {
  readonly kind: 'proposal';
  readonly code: 'unavailable';
  readonly detail: string;
}

/** Why a proposed change was not confirmed as committed. */
export type ProposalError = ConflictError | RejectedError | UnknownOutcomeError | UnavailableError;

/**
 * Replica records were not announced. `disk`: this node's disk failed; `unknown`: no majority has confirmed them yet.
 */
export interface AnnouncementError {
  readonly kind: 'announcement';
  readonly code: 'disk' | 'unknown';
}

/** The manual recovery of a state with new members failed. */
export interface MemberRecoveryError {
  readonly kind: 'recovery';
  readonly code: 'no_state' | 'not_a_member' | 'duplicate_members' | 'disk';
  readonly detail: string;
}

/** Why a recovery failed; a damaged log is reported and left unchanged. */
export type RecoveryError = WriteAheadLogError | MemberRecoveryError;

/** Why a control node did not start: a fault in its logs, or in the address to listen on. */
export type StartError = NetworkError | WriteAheadLogError;

/** Creates the errors of a proposal. */
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
