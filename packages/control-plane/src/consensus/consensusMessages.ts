/** Types of the messages between members of the consensus group, and the type guards for received ones. */
import type { Change, ChangeBody, Member } from '@martenworks/core-types';
import type { LeaseRequest, LeaseReply, MemberEntry } from '@martenworks/cluster-membership';
import type { Accepted, Ballot, CompressedCommit, Vote } from './ballots.js';
import type { MemberStatus, BootstrapVoteReply } from '../membership/bootstrapMessages.js';
import { messageChecks } from '../messages/messageChecks.js';
import type { Position } from './quorumCall.js';

interface PrepareMessage {
  readonly slot: number;
  readonly ballot: Ballot;
}

interface AcceptMessage extends PrepareMessage {
  /** Compressed (see `compressedChanges`). */
  readonly change: Uint8Array;
}

/** A lease request with the voters' incarnations as the requester knows them; earlier releases omit `electorate`. */
export interface ElectorateLeaseRequest extends LeaseRequest {
  readonly electorate?: readonly string[];
}

const changeKinds: ReadonlySet<unknown> = new Set<ChangeBody['kind']>([
  'config',
  'grant',
  'revoke',
  'swap',
  'routing',
  'weights',
]);
const unavailableCauses: ReadonlySet<unknown> = new Set(['unfounded', 'no voter', 'disk']);

const { isObject, isText, isNumber, isInteger, isBytes, isListOf, isNullOr, isTexts } = messageChecks;

const isMember = (value: unknown): value is Member =>
  isObject(value) && isText(value.name) && isText(value.address) && isText(value.incarnation);

const isMembers = isListOf(isMember);

const isPosition = (value: unknown): value is Position =>
  isObject(value) && isInteger(value.logIndex) && (value.acceptedSlot === null || isInteger(value.acceptedSlot));

const isBallot = (value: unknown): value is Ballot =>
  Array.isArray(value) && value.length === 2 && isNumber(value[0]) && isText(value[1]);

const isChangeBody = (value: unknown): value is ChangeBody => {
  if (!isObject(value) || !changeKinds.has(value.kind)) return false;
  return value.kind !== 'swap' || (isText(value.outgoing) && isMember(value.incoming));
};

const isChange = (value: unknown): value is Change =>
  isObject(value) && isText(value.id) && isText(value.digest) && isChangeBody(value.body);

const isAccepted = (value: unknown): value is Accepted =>
  isObject(value) && isBallot(value.ballot) && isChange(value.change);

const isCommitted = (value: unknown): value is CompressedCommit =>
  isObject(value) && isInteger(value.logIndex) && isBytes(value.change);

const isVote = (value: unknown): value is Vote => {
  if (!isObject(value)) return false;
  switch (value.kind) {
    case 'promised':
      return isNullOr(isAccepted)(value.accepted);
    case 'accepted':
      return true;
    case 'rejected':
      return isBallot(value.promised);
    case 'ahead':
    case 'behind':
      return isInteger(value.logIndex);
    case 'unavailable':
      return unavailableCauses.has(value.cause);
    default:
      return false;
  }
};

const isPrepare = (value: unknown): value is PrepareMessage =>
  isObject(value) && isInteger(value.slot) && isBallot(value.ballot);

const isAccept = (value: unknown): value is AcceptMessage =>
  isObject(value) && isPrepare(value) && isBytes(value.change);

const isMemberStatus = (value: unknown): value is MemberStatus =>
  isObject(value) &&
  isText(value.incarnation) &&
  isInteger(value.logIndex) &&
  typeof value.isVoter === 'boolean' &&
  isNullOr(isMembers)(value.foundingVote) &&
  isTexts(value.syncedFrom);

const isBootstrapVoteReply = (value: unknown): value is BootstrapVoteReply =>
  isObject(value) && typeof value.isGranted === 'boolean' && isNullOr(isMembers)(value.members);

const isDutyRequest = (value: unknown): value is LeaseRequest['duties'][number] =>
  isObject(value) && isText(value.duty) && isNumber(value.fence);

const isLeaseRequest = (value: unknown): value is ElectorateLeaseRequest =>
  isObject(value) &&
  isText(value.holder) &&
  isListOf(isDutyRequest)(value.duties) &&
  (value.electorate === undefined || isTexts(value.electorate));

const isLeaseReply = (value: unknown): value is LeaseReply =>
  isObject(value) && isTexts(value.granted) && isObject(value.fences) && Object.values(value.fences).every(isNumber);

const isMemberEntry = (value: unknown): value is MemberEntry =>
  isObject(value) &&
  isNumber(value.ageMs) &&
  isObject(value.hello) &&
  isText(value.hello.name) &&
  isText(value.hello.role) &&
  isText(value.hello.address) &&
  isText(value.hello.incarnation);

/** Type guards for message bodies. Malformed messages are ignored, malformed requests answered with null. */
export const consensusMessages = {
  isAccept,
  isChange,
  isInteger,
  isLeaseRequest,
  isLeaseReply,
  isMembers,
  isPosition,
  isPrepare,
  isMemberEntries: isListOf(isMemberEntry),
  isCommitted,
  isMemberStatus,
  isVote,
  isBootstrapVoteReply,
};
