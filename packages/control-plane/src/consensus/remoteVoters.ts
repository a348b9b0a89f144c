/** A proposer's calls to the voters: direct calls to this node's acceptor, messages to the others. */
import type { Member } from '@martenworks/core-types';
import type { Acceptor } from './acceptor.js';
import type { CompressedCommit, LogSuffix } from './ballots.js';
import type { CatchUp } from './catchUp.js';
import { compressedChanges } from './compression.js';
import { consensusMessages } from './consensusMessages.js';
import type { MemberPeers } from './memberPeers.js';
import type { Voters } from './quorumCall.js';

/** Creates the voters that a proposer calls; each request times out after `timeoutMs` milliseconds. */
export const remoteVoters = (acceptor: Acceptor, peers: MemberPeers, catchUp: CatchUp, timeoutMs: number): Voters => {
  const { isPosition, isVote } = consensusMessages;

  /** Brings this node up to date with the member; null if that did not succeed in time. */
  const catchUpFrom = async (member: Member): Promise<LogSuffix | null> => {
    const connection = peers.connectionTo(member);
    const isSynced = connection !== undefined && (await catchUp.syncWith(connection, timeoutMs));
    return isSynced ? { kind: 'nothing' } : null;
  };

  return {
    prepare: (member, slot, ballot) => {
      if (peers.isSelf(member)) return acceptor.prepare(slot, ballot);
      return peers.ask(member, 'prepare', { slot, ballot }, isVote, timeoutMs);
    },
    accept: (member, slot, ballot, change) => {
      if (peers.isSelf(member)) return acceptor.accept(slot, ballot, change);
      const body = { slot, ballot, change: compressedChanges.encode(change) };
      return peers.ask(member, 'accept', body, isVote, timeoutMs);
    },
    position: (member) => peers.ask(member, 'position', null, isPosition, timeoutMs),
    broadcastCommit: ({ logIndex, change }) => {
      const body: CompressedCommit = { logIndex, change: compressedChanges.encode(change) };
      peers.broadcast('committed', body);
    },
    logSuffixAfter: async (member, logIndex) =>
      peers.isSelf(member) ? acceptor.logSuffixAfter(logIndex) : catchUpFrom(member),
    bringUpToDate: async (member) => {
      const connection = peers.connectionTo(member);
      if (connection !== undefined) await catchUp.bringUpToDate(connection, timeoutMs);
    },
  };
};
