/** Manual recovery after a majority of the members has lost its disks (docs/control/membership.md). */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommittedState, Clock, Disk, Log, Member, Random } from '@martenworks/core-types';
import type { MemberRecoveryError, RecoveryError } from '../errors.js';
import { acceptors } from './acceptor.js';
import { checkMemberLogs } from './memberLogs.js';

const logIndexGap = 1_000;

const failure = (code: MemberRecoveryError['code'], detail: string): MemberRecoveryError => ({
  kind: 'recovery',
  code,
  detail,
});

/**
 * Replaces the members in the state of a stopped node, at a log index far above any that the lost members may have
 * committed. Changes that only the lost members had are lost.
 */
export const recovery = {
  recover: async (
    disk: Disk,
    clock: Clock,
    random: Random,
    log: Log,
    members: readonly Member[],
  ): Promise<Result<CommittedState, RecoveryError>> => {
    const checked = await checkMemberLogs(disk);
    if (checked.isErr()) return err(checked.error);
    const opened = await acceptors.open(disk, clock, random, log);
    if (opened.isErr()) return err(opened.error);
    const acceptor = opened.value;
    const state = acceptor.committedState();
    if (state === null) return err(failure('no_state', 'this data folder has no committed state'));
    if (!members.some((member) => member.incarnation === acceptor.incarnation))
      return err(
        failure('not_a_member', `the new members must include this node, incarnation ${acceptor.incarnation}`),
      );
    if (new Set(members.map((member) => member.incarnation)).size !== members.length)
      return err(failure('duplicate_members', 'the new members must have distinct incarnations'));
    const recovered: CommittedState = { ...state, logIndex: state.logIndex + logIndexGap, members };
    const isStored = await acceptor.adopt(recovered);
    await acceptor.close();
    return isStored ? ok(recovered) : err(failure('disk', 'the recovered state could not be written to disk'));
  },
};
