/** Replica records agreed on by a majority of the control nodes, without a log entry: records merge in any order. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background } from '@martenworks/core-types';
import type { ReplicaRecord } from '@martenworks/core-types';
import type { PeerPool } from '@martenworks/cluster-membership';
import type { ClaimTable } from './claims.js';
import type { Acceptor } from '../consensus/acceptor.js';
import { majorityOf } from '../consensus/quorumCall.js';
import type { AnnouncementError } from '../errors.js';
import { gatewayMessages } from '../messages/gatewayMessages.js';
import type { ReplicaTable } from './replicaTable.js';

const timeoutMs = 1_500;

/** Announces records to the other control nodes, learns theirs, and copies whole tables from them. */
export class ReplicaRegistry {
  /** The members, by incarnation, whose records and claims were copied since their connection opened. */
  readonly syncedFrom = new Set<string>();

  constructor(
    private readonly table: ReplicaTable,
    private readonly claims: ClaimTable,
    private readonly acceptor: Acceptor,
    private readonly peerPool: () => PeerPool,
  ) {}

  private readonly byMajority = (
    topic: string,
    body: unknown,
    isHeard: (reply: unknown) => boolean | Promise<boolean>,
  ): Promise<boolean> => {
    const members = this.acceptor.agreed()?.members ?? [];
    const majority = majorityOf(members);
    const others = members.filter((member) => member.incarnation !== this.acceptor.incarnation);
    return new Promise((resolve) => {
      let heard = this.acceptor.isVoter() ? 1 : 0;
      let open = others.length;
      const count = (isOne: boolean): void => {
        open -= 1;
        if (isOne) heard += 1;
        if (heard >= majority) resolve(true);
        else if (open <= 0) resolve(false);
      };
      if (others.length === 0) resolve(false);
      for (const member of others) {
        const connection = this.peerPool().connectionTo(member.incarnation);
        if (connection === undefined) count(false);
        else
          background.run(
            'quorum call on replicas',
            connection
              .call(topic, body, timeoutMs)
              .then(async (reply) => count(reply.isOk() && (await isHeard(reply.value)))),
          );
      }
    });
  };

  /**
   * Writes records to this node's disk and a majority's. `unknown`: fewer have confirmed them so far; announcing them
   * again is safe.
   */
  readonly announce = async (records: readonly ReplicaRecord[]): Promise<Result<void, AnnouncementError>> => {
    const kept = await this.table.take(records);
    if (kept.isErr()) return err({ kind: 'announcement', code: 'disk' });
    const merged = records.flatMap((record) => this.table.find(record.name) ?? []);
    return (await this.byMajority('replicaNews', merged, (reply) => reply === true))
      ? ok(undefined)
      : err({ kind: 'announcement', code: 'unknown' });
  };

  /** Takes in what a majority knows of these replicas; false where no majority replied in time. */
  readonly learn = (names: readonly string[]): Promise<boolean> =>
    this.byMajority(
      'replicaLook',
      names,
      async (reply) => gatewayMessages.isReplicaRecords(reply) && (await this.takeRecords(reply)),
    );

  /** What this node knows of these replicas; null where it is no voter. */
  readonly look = (names: readonly string[]): ReplicaRecord[] | null =>
    this.acceptor.isVoter() ? names.flatMap((name) => this.table.find(name) ?? []) : null;

  /** Merges records of another node; false where the disk failed. */
  readonly takeRecords = async (records: readonly ReplicaRecord[]): Promise<boolean> =>
    (await this.table.take(records)).isOk();

  /**
   * Copies the records and claims of a member, and sends it the own records; ends quietly where the member does not
   * reply.
   */
  readonly reconcile = async (incarnation: string, peerPool: PeerPool): Promise<void> => {
    const connection = peerPool.connectionTo(incarnation);
    if (connection === undefined) return;
    const reply = await connection.call('replicaTable', this.table.records(), timeoutMs);
    if (reply.isErr() || !gatewayMessages.isReplicaRecords(reply.value)) return;
    const kept = await this.table.take(reply.value);
    if (kept.isErr()) return;
    for (let from: number | null = 0; from !== null; ) {
      const page = await connection.call('claimPage', from, timeoutMs);
      if (page.isErr() || !gatewayMessages.isClaimPage(page.value)) return;
      if (!(await this.claims.takePage(page.value))) return;
      from = page.value.next;
    }
    this.syncedFrom.add(incarnation);
  };
}
