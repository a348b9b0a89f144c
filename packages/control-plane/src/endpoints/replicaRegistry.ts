/**
 * Replicates replica records to a majority of the control nodes. No log entries are needed, as records merge in any
 * order.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background } from '@martenworks/core-types';
import type { ReplicaRecord } from '@martenworks/core-types';
import type { PeerPool } from '@martenworks/cluster-membership';
import type { ClaimTable } from './claimTable.js';
import type { Acceptor } from '../consensus/acceptor.js';
import { majorityOf } from '../consensus/quorumCall.js';
import type { AnnouncementError } from '../errors.js';
import { gatewayMessages } from '../messages/gatewayMessages.js';
import type { ReplicaTable } from './replicaTable.js';

const timeoutMs = 1_500;

/** Announces records to the other control nodes, fetches theirs, and synchronizes full tables with them. */
export class ReplicaRegistry {
  /** Incarnations of the members whose records and claims were copied since their connection opened. */
  readonly syncedFrom = new Set<string>();

  constructor(
    private readonly table: ReplicaTable,
    private readonly claims: ClaimTable,
    private readonly acceptor: Acceptor,
    private readonly peerPool: () => PeerPool,
  ) {}

  private readonly askMajority = (
    topic: string,
    body: unknown,
    isConfirmation: (reply: unknown) => boolean | Promise<boolean>,
  ): Promise<boolean> => {
    const members = this.acceptor.committedState()?.members ?? [];
    const majority = majorityOf(members);
    const others = members.filter((member) => member.incarnation !== this.acceptor.incarnation);
    return new Promise((resolve) => {
      let confirmations = this.acceptor.isVoter() ? 1 : 0;
      let pending = others.length;
      const count = (isConfirmed: boolean): void => {
        pending -= 1;
        if (isConfirmed) confirmations += 1;
        if (confirmations >= majority) resolve(true);
        else if (pending <= 0) resolve(false);
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
              .then(async (reply) => count(reply.isOk() && (await isConfirmation(reply.value)))),
          );
      }
    });
  };

  /**
   * Writes records to the disks of this node and of a majority. Fails with `unknown` if no majority has confirmed them
   * yet; announcing them again is safe.
   */
  readonly announce = async (records: readonly ReplicaRecord[]): Promise<Result<void, AnnouncementError>> => {
    const written = await this.table.merge(records);
    if (written.isErr()) return err({ kind: 'announcement', code: 'disk' });
    const merged = records.flatMap((record) => this.table.find(record.name) ?? []);
    return (await this.askMajority('replicaNews', merged, (reply) => reply === true))
      ? ok(undefined)
      : err({ kind: 'announcement', code: 'unknown' });
  };

  /** Merges the records that a majority has of these replicas; false if no majority replied in time. */
  readonly fetchFromMajority = (names: readonly string[]): Promise<boolean> =>
    this.askMajority(
      'replicaLook',
      names,
      async (reply) => gatewayMessages.isReplicaRecords(reply) && (await this.mergeRecords(reply)),
    );

  /** Returns this node's records of these replicas; null if it is not a voter. */
  readonly lookUp = (names: readonly string[]): ReplicaRecord[] | null =>
    this.acceptor.isVoter() ? names.flatMap((name) => this.table.find(name) ?? []) : null;

  /** Merges records of another node; false if the write failed. */
  readonly mergeRecords = async (records: readonly ReplicaRecord[]): Promise<boolean> =>
    (await this.table.merge(records)).isOk();

  /**
   * Copies the records and claims of a member, and sends it this node's records. Returns without an error if the member
   * does not reply.
   */
  readonly reconcile = async (incarnation: string, peerPool: PeerPool): Promise<void> => {
    const connection = peerPool.connectionTo(incarnation);
    if (connection === undefined) return;
    const reply = await connection.call('replicaTable', this.table.records(), timeoutMs);
    if (reply.isErr() || !gatewayMessages.isReplicaRecords(reply.value)) return;
    const merged = await this.table.merge(reply.value);
    if (merged.isErr()) return;
    for (let from: number | null = 0; from !== null; ) {
      const page = await connection.call('claimPage', from, timeoutMs);
      if (page.isErr() || !gatewayMessages.isClaimPage(page.value)) return;
      if (!(await this.claims.mergePage(page.value))) return;
      from = page.value.next;
    }
    this.syncedFrom.add(incarnation);
  };
}
