/**
 * Claims on idempotency keys: of all gateways that receive a request with the same key, one runs it. The claimant is
 * chosen by single-decree Paxos among the control nodes (Lamport, "Paxos Made Simple", 2001). A claim whose request did
 * not run is released, which starts the key's next turn.
 */
import { background, claimBallots, timing } from '@martenworks/core-types';
import type { Claimant, ClaimAccepted, ClaimBallot, Member, Ports } from '@martenworks/core-types';
import { peerConnections } from '@martenworks/peer-transport';
import type { Hello } from '@martenworks/peer-transport';
import type { PeerPool } from '@martenworks/cluster-membership';
import { peerMessages } from '../peers/peerMessages.js';
import { ClaimQuorum } from './claimQuorum.js';
import type { PollResult } from './claimQuorum.js';
import { ResponseStore } from './responseStore.js';
import type { StoredResponseState } from './responseStore.js';

const stateCallTimeoutMs = 700;
const claimTimeoutMs = 4_000;
const maxRounds = 12;
const backoffStepMs = 10;
const claimantTokenBytes = 4;

/** A claim on an idempotency key. */
export interface Claim {
  /** Digest of the tenant and its idempotency key. */
  readonly key: string;
  /** Number of claims on this key that were released before. */
  readonly turn: number;
  readonly claimant: Claimant;
}

/** The result of trying to claim a key. The kinds also name metrics. */
export type ClaimOutcome =
  | { readonly kind: 'claimed'; readonly claim: Claim }
  | { readonly kind: 'replay'; readonly datas: readonly string[] }
  | { readonly kind: 'running' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'reused' }
  | { readonly kind: 'no majority' };

const newestTurn = (poll: PollResult, turn: number): number =>
  poll.states.reduce((newest, { state }) => Math.max(newest, state.turn), turn);

const newestBallotRound = (poll: PollResult, round: number): number =>
  poll.states.reduce((newest, { state }) => Math.max(newest, state.promised?.[0] ?? 0), round);

/** The claimant accepted under the highest ballot among the promises, which Paxos requires to be proposed again. */
const highestAccepted = (poll: PollResult): ClaimAccepted | null => {
  let highest: ClaimAccepted | null = null;
  for (const { isGranted, state } of poll.states) {
    if (!isGranted || state.accepted === null) continue;
    if (highest === null || claimBallots.compare(state.accepted.ballot, highest.ballot) > 0) highest = state.accepted;
  }
  return highest;
};

/** The claims of one gateway. */
export class Claims {
  /** Outcomes of the requests that this gateway claimed. */
  readonly responseStore = new ResponseStore();
  private readonly quorum: ClaimQuorum;
  private ballotRound = 0;

  constructor(
    private readonly ports: Ports,
    private readonly hello: () => Hello,
    members: () => readonly Member[],
    peerPool: () => PeerPool,
  ) {
    this.quorum = new ClaimQuorum(members, peerPool);
  }

  /** Claims a key for a request; `digest` is the digest of the request's body, to detect reuse for another request. */
  readonly acquire = async (key: string, digest: string, requestId: string): Promise<ClaimOutcome> => {
    const { clock, random } = this.ports;
    const { incarnation, address } = this.hello();
    const own: Claimant = {
      id: `${incarnation}/${requestId}/${random.token(claimantTokenBytes)}`,
      gateway: incarnation,
      address,
      digest,
    };
    this.responseStore.recordStart(own.id);
    const outcome = await this.runRounds(key, own, clock.now() + claimTimeoutMs);
    if (outcome.kind !== 'claimed') this.responseStore.recordOutcome(own.id, { kind: 'not run' });
    return outcome;
  };

  private readonly runRounds = async (key: string, own: Claimant, deadlineAt: number): Promise<ClaimOutcome> => {
    const { clock, random } = this.ports;
    let turn = 0;
    for (let round = 0; round < maxRounds && clock.now() < deadlineAt; round += 1) {
      if (round > 0) await timing.sleep(clock, backoffStepMs * round * (0.5 + random.fraction()));
      const ballot: ClaimBallot = [++this.ballotRound, own.id];
      const promises = await this.quorum.poll('claimPrepare', { key, turn, ballot });
      this.ballotRound = newestBallotRound(promises, this.ballotRound);
      const currentTurn = newestTurn(promises, turn);
      if (currentTurn > turn) {
        turn = currentTurn;
        continue;
      }
      if (!this.quorum.isMajority(promises.granted)) continue;
      const claimant = highestAccepted(promises)?.claimant ?? own;
      const acceptances = await this.quorum.poll('claimAccept', { key, turn, ballot, claimant });
      if (!this.quorum.isMajority(acceptances.granted)) continue;
      if (claimant.id === own.id) return { kind: 'claimed', claim: { key, turn, claimant: own } };
      if (claimant.digest !== own.digest) return { kind: 'reused' };
      const state = await this.fetchState(claimant);
      if (state.kind === 'done') return { kind: 'replay', datas: state.datas };
      if (state.kind !== 'not run') return { kind: state.kind };
      await this.release({ key, turn, claimant });
      turn += 1;
    }
    return { kind: 'no majority' };
  };

  /** Asks the claimant's gateway for the outcome of its request. */
  private readonly fetchState = async (claimant: Claimant): Promise<StoredResponseState> => {
    if (claimant.gateway === this.hello().incarnation) return this.responseStore.stateOf(claimant.id);
    const { net, clock, log } = this.ports;
    const dialed = await peerConnections.dial(net, clock, log, this.hello(), claimant.address, {
      onMessage: () => {},
      onCall: async () => null,
      onOpen: () => {},
      onClose: () => {},
    });
    if (dialed.isErr()) return { kind: 'unknown' };
    const connection = dialed.value;
    const response =
      connection.peer?.incarnation === claimant.gateway
        ? await connection.call('claimState', claimant.id, stateCallTimeoutMs)
        : null;
    connection.close();
    const state = response?.isOk() === true ? peerMessages.storedResponseState(response.value) : null;
    return state ?? { kind: 'unknown' };
  };

  private readonly release = async (claim: Claim): Promise<void> => {
    await this.quorum.poll('claimRelease', { key: claim.key, turn: claim.turn });
  };

  /** Records the outcome of a claimed request, and releases the claim if the request did not run. */
  readonly recordOutcome = (claim: Claim, state: StoredResponseState): void => {
    this.responseStore.recordOutcome(claim.claimant.id, state);
    if (state.kind === 'not run') background.run('release a claim', this.release(claim));
  };
}
