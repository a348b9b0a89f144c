import { background, claimBallots, pause } from '@martenworks/core-types';
import type { Claimant, ClaimAccepted, ClaimBallot, ClaimVote, Member, Ports } from '@martenworks/core-types';
import { peerConnections } from '@martenworks/peer-transport';
import type { Hello } from '@martenworks/peer-transport';
import type { PeerPool } from '@martenworks/cluster-membership';

const voteTimeoutMs = 1_000;
const askTimeoutMs = 700;
const attemptLimit = 12;
const responseStoreLimit = 4_096;
const responseStoreBytesLimit = 64 * 1024 * 1024;
const responseBytesLimit = 256 * 1024;

export interface Claim {
  readonly key: string;
  readonly turn: number;
  readonly claimant: Claimant;
}

export type ClaimOutcome =
  | { readonly kind: 'claimed'; readonly claim: Claim }
  | { readonly kind: 'replay'; readonly datas: readonly string[] }
  | { readonly kind: 'running' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'reused' }
  | { readonly kind: 'no majority' };

export type StoredResponseState =
  | { readonly kind: 'running' }
  | { readonly kind: 'done'; readonly datas: readonly string[] }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'not run' };

interface Shelved {
  state: StoredResponseState;
  bytes: number;
}

class ResponseStore {
  private readonly held = new Map<string, Shelved>();
  private bytes = 0;

  readonly began = (id: string): void => this.put(id, { kind: 'running' }, 0);

  readonly ended = (id: string, state: StoredResponseState): void => {
    const bytes = state.kind === 'done' ? state.datas.reduce((sum, data) => sum + data.length, 0) : 0;
    this.put(id, bytes > responseBytesLimit ? { kind: 'unknown' } : state, bytes > responseBytesLimit ? 0 : bytes);
  };

  private readonly put = (id: string, state: StoredResponseState, bytes: number): void => {
    this.bytes += bytes - (this.held.get(id)?.bytes ?? 0);
    this.held.delete(id);
    this.held.set(id, { state, bytes });
    for (const [oldest, shelved] of this.held) {
      if (this.held.size <= responseStoreLimit && this.bytes <= responseStoreBytesLimit) return;
      if (shelved.state.kind === 'running') continue;
      this.bytes -= shelved.bytes;
      this.held.delete(oldest);
    }
  };

  readonly stateOf = (id: string): StoredResponseState => this.held.get(id)?.state ?? { kind: 'unknown' };
}

interface Poll {
  readonly granted: number;
  readonly states: readonly Extract<ClaimVote, { kind: 'state' }>[];
}

export class Claims {
  readonly responseStore = new ResponseStore();
  private round = 0;

  constructor(
    private readonly ports: Ports,
    private readonly own: () => Hello,
    private readonly members: () => readonly Member[],
    private readonly peerPool: () => PeerPool,
  ) {}

  private readonly poll = (topic: string, body: unknown): Promise<Poll> => {
    const members = this.members();
    const majority = Math.floor(members.length / 2) + 1;
    return new Promise((resolve) => {
      const states: Extract<ClaimVote, { kind: 'state' }>[] = [];
      let granted = 0;
      let open = members.length;
      const metrics = (vote: ClaimVote | null): void => {
        open -= 1;
        if (vote?.kind === 'state') {
          states.push(vote);
          if (vote.isGranted) granted += 1;
        }
        if (granted >= majority || open <= 0) resolve({ granted, states: [...states] });
      };
      if (members.length === 0) resolve({ granted: 0, states: [] });
      for (const member of members) {
        const connection = this.peerPool().to(member.incarnation);
        if (connection === undefined) metrics(null);
        else
          background.run(
            'quorum call on a claim',
            connection
              .ask(topic, body, voteTimeoutMs)
              .then((response) => metrics(response.isOk() ? (response.value as ClaimVote | null) : null)),
          );
      }
    });
  };

  private readonly isMajority = (count: number): boolean => count > this.members().length / 2;

  readonly take = async (key: string, digest: string, requestId: string): Promise<ClaimOutcome> => {
    const { clock, random } = this.ports;
    const own: Claimant = {
      id: `${this.own().incarnation}/${requestId}/${random.token(4)}`,
      gateway: this.own().incarnation,
      address: this.own().address,
      digest,
    };
    this.responseStore.began(own.id);
    const outcome = await this.settle(key, own, clock.now() + 4_000);
    if (outcome.kind !== 'claimed') this.responseStore.ended(own.id, { kind: 'not run' });
    return outcome;
  };

  private readonly settle = async (key: string, own: Claimant, deadlineAt: number): Promise<ClaimOutcome> => {
    const { clock, random } = this.ports;
    let turn = 0;
    for (let attempt = 0; attempt < attemptLimit && clock.now() < deadlineAt; attempt += 1) {
      if (attempt > 0) await pause.for(clock, 10 * attempt * (0.5 + random.fraction()));
      const ballot: ClaimBallot = [++this.round, own.id];
      const promises = await this.poll('claimPrepare', { key, turn, ballot });
      const newestTurn = promises.states.reduce((newest, { state }) => Math.max(newest, state.turn), turn);
      this.round = promises.states.reduce((round, { state }) => Math.max(round, state.promised?.[0] ?? 0), this.round);
      if (newestTurn > turn) {
        turn = newestTurn;
        continue;
      }
      if (!this.isMajority(promises.granted)) continue;
      let highest: ClaimAccepted | null = null;
      for (const { isGranted, state } of promises.states) {
        if (
          isGranted &&
          state.accepted !== null &&
          (highest === null || claimBallots.compare(state.accepted.ballot, highest.ballot) > 0)
        )
          highest = state.accepted;
      }
      const claimant: Claimant = highest?.claimant ?? own;
      const accepts = await this.poll('claimAccept', { key, turn, ballot, claimant });
      if (!this.isMajority(accepts.granted)) continue;
      if (claimant.id === own.id) return { kind: 'claimed', claim: { key, turn, claimant: own } };
      if (claimant.digest !== own.digest) return { kind: 'reused' };
      const told = await this.inquire(claimant);
      if (told.kind === 'done') return { kind: 'replay', datas: told.datas };
      if (told.kind === 'running') return { kind: 'running' };
      if (told.kind === 'unknown') return { kind: 'unknown' };
      await this.release({ key, turn, claimant });
      turn += 1;
    }
    return { kind: 'no majority' };
  };

  private readonly inquire = async (claimant: Claimant): Promise<StoredResponseState> => {
    if (claimant.gateway === this.own().incarnation) return this.responseStore.stateOf(claimant.id);
    const { net, clock, log } = this.ports;
    const dialed = await peerConnections.dial(net, clock, log, this.own(), claimant.address, {
      told: () => {},
      asked: async () => null,
      joined: () => {},
      left: () => {},
    });
    if (dialed.isErr()) return { kind: 'unknown' };
    const connection = dialed.value;
    const response =
      connection.peer?.incarnation === claimant.gateway
        ? await connection.ask('claimState', claimant.id, askTimeoutMs)
        : null;
    connection.close();
    return response?.isOk() === true ? (response.value as StoredResponseState) : { kind: 'unknown' };
  };

  readonly release = async (claim: Claim): Promise<void> => {
    await this.poll('claimRelease', { key: claim.key, turn: claim.turn });
  };

  readonly ended = (claim: Claim, state: StoredResponseState): void => {
    this.responseStore.ended(claim.claimant.id, state);
    if (state.kind === 'not run') background.run('release a claim', this.release(claim));
  };
}
