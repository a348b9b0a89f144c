import { background, claimBallots, pause } from '@martenworks/core-types';
import type { Claimant, ClaimAccepted, ClaimBallot, ClaimVote, Member, Ports } from '@martenworks/core-types';
import { peerConnections } from '@martenworks/peer-transport';
import type { Hello } from '@martenworks/peer-transport';
import type { Lines } from '@martenworks/cluster-membership';

const votePatienceMs = 1_000;
const askPatienceMs = 700;
const shotLimit = 12;
const shelfLimit = 4_096;
const shelfBytesLimit = 64 * 1024 * 1024;
const receiptBytesLimit = 256 * 1024;

export interface Claim {
  readonly key: string;
  readonly turn: number;
  readonly claimant: Claimant;
}

export type ClaimOutcome =
  | { readonly k: 'claimed'; readonly claim: Claim }
  | { readonly k: 'replay'; readonly datas: readonly string[] }
  | { readonly k: 'running' }
  | { readonly k: 'unknown' }
  | { readonly k: 'reused' }
  | { readonly k: 'no majority' };

export type ShelfState =
  | { readonly k: 'running' }
  | { readonly k: 'done'; readonly datas: readonly string[] }
  | { readonly k: 'unknown' }
  | { readonly k: 'not run' };

interface Shelved {
  state: ShelfState;
  bytes: number;
}

class ReceiptShelf {
  private readonly held = new Map<string, Shelved>();
  private bytes = 0;

  readonly began = (id: string): void => this.put(id, { k: 'running' }, 0);

  readonly ended = (id: string, state: ShelfState): void => {
    const bytes = state.k === 'done' ? state.datas.reduce((sum, data) => sum + data.length, 0) : 0;
    this.put(id, bytes > receiptBytesLimit ? { k: 'unknown' } : state, bytes > receiptBytesLimit ? 0 : bytes);
  };

  private readonly put = (id: string, state: ShelfState, bytes: number): void => {
    this.bytes += bytes - (this.held.get(id)?.bytes ?? 0);
    this.held.delete(id);
    this.held.set(id, { state, bytes });
    for (const [oldest, shelved] of this.held) {
      if (this.held.size <= shelfLimit && this.bytes <= shelfBytesLimit) return;
      if (shelved.state.k === 'running') continue;
      this.bytes -= shelved.bytes;
      this.held.delete(oldest);
    }
  };

  readonly stateOf = (id: string): ShelfState => this.held.get(id)?.state ?? { k: 'unknown' };
}

interface Poll {
  readonly granted: number;
  readonly states: readonly Extract<ClaimVote, { k: 'state' }>[];
}

export class Claims {
  readonly shelf = new ReceiptShelf();
  private round = 0;

  constructor(
    private readonly ports: Ports,
    private readonly own: () => Hello,
    private readonly members: () => readonly Member[],
    private readonly lines: () => Lines,
  ) {}

  private readonly poll = (topic: string, body: unknown): Promise<Poll> => {
    const members = this.members();
    const majority = Math.floor(members.length / 2) + 1;
    return new Promise((settle) => {
      const states: Extract<ClaimVote, { k: 'state' }>[] = [];
      let granted = 0;
      let open = members.length;
      const tally = (vote: ClaimVote | null): void => {
        open -= 1;
        if (vote?.k === 'state') {
          states.push(vote);
          if (vote.isGranted) granted += 1;
        }
        if (granted >= majority || open <= 0) settle({ granted, states: [...states] });
      };
      if (members.length === 0) settle({ granted: 0, states: [] });
      for (const member of members) {
        const connection = this.lines().to(member.incarnation);
        if (connection === undefined) tally(null);
        else
          background.run(
            'quorum call on a claim',
            connection
              .ask(topic, body, votePatienceMs)
              .then((receipt) => tally(receipt.isOk() ? (receipt.value as ClaimVote | null) : null)),
          );
      }
    });
  };

  private readonly isMajority = (count: number): boolean => count > this.members().length / 2;

  readonly take = async (key: string, digest: string, requestId: string): Promise<ClaimOutcome> => {
    const { clock, random } = this.ports;
    const own: Claimant = {
      id: `${this.own().incarnation}/${requestId}/${random.token(4)}`,
      counter: this.own().incarnation,
      address: this.own().address,
      digest,
    };
    this.shelf.began(own.id);
    const outcome = await this.settle(key, own, clock.now() + 4_000);
    if (outcome.k !== 'claimed') this.shelf.ended(own.id, { k: 'not run' });
    return outcome;
  };

  private readonly settle = async (key: string, own: Claimant, horizonAt: number): Promise<ClaimOutcome> => {
    const { clock, random } = this.ports;
    let turn = 0;
    for (let shot = 0; shot < shotLimit && clock.now() < horizonAt; shot += 1) {
      if (shot > 0) await pause.for(clock, 10 * shot * (0.5 + random.fraction()));
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
      if (claimant.id === own.id) return { k: 'claimed', claim: { key, turn, claimant: own } };
      if (claimant.digest !== own.digest) return { k: 'reused' };
      const told = await this.inquire(claimant);
      if (told.k === 'done') return { k: 'replay', datas: told.datas };
      if (told.k === 'running') return { k: 'running' };
      if (told.k === 'unknown') return { k: 'unknown' };
      await this.release({ key, turn, claimant });
      turn += 1;
    }
    return { k: 'no majority' };
  };

  private readonly inquire = async (claimant: Claimant): Promise<ShelfState> => {
    if (claimant.counter === this.own().incarnation) return this.shelf.stateOf(claimant.id);
    const { net, clock, log } = this.ports;
    const dialed = await peerConnections.dial(net, clock, log, this.own(), claimant.address, {
      told: () => {},
      asked: async () => null,
      joined: () => {},
      left: () => {},
    });
    if (dialed.isErr()) return { k: 'unknown' };
    const connection = dialed.value;
    const receipt =
      connection.neighbour?.incarnation === claimant.counter
        ? await connection.ask('claimState', claimant.id, askPatienceMs)
        : null;
    connection.close();
    return receipt?.isOk() === true ? (receipt.value as ShelfState) : { k: 'unknown' };
  };

  readonly release = async (claim: Claim): Promise<void> => {
    await this.poll('claimRelease', { key: claim.key, turn: claim.turn });
  };

  readonly ended = (claim: Claim, state: ShelfState): void => {
    this.shelf.ended(claim.claimant.id, state);
    if (state.k === 'not run') background.run('release a claim', this.release(claim));
  };
}
