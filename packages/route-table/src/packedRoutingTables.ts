/** Routing tables and patches as they travel to edges: JSON, deflated once and shared by all that are sent it. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RoutingTablePatch, PackedRoutingTable, RoutingTable } from '@martenworks/core-types';
import { patches } from './patches.js';

const deflateLevel = 1;
const mostInflatedBytes = 256 * 1_024 * 1_024;

const deflated = (value: unknown): Uint8Array => deflateRawSync(JSON.stringify(value), { level: deflateLevel });

const inflated = (bytes: Uint8Array): unknown =>
  JSON.parse(inflateRawSync(bytes, { maxOutputLength: mostInflatedBytes }).toString('utf8'));

/** Why a packed table can't be opened: its bytes are unreadable, or the patch builds on another version. */
export interface PackedRoutingTableError {
  readonly kind: 'packedBook';
  readonly code: 'unreadable' | 'otherBase';
}

/** Packs tables and patches, and opens them again. */
export const packedRoutingTables = {
  packTable: (routingTable: RoutingTable): PackedRoutingTable => ({ from: null, deflated: deflated(routingTable) }),
  packPatch: (patch: RoutingTablePatch): PackedRoutingTable => ({ from: patch.from, deflated: deflated(patch) }),
  /**
   * The routing table that was packed; a patch is applied to the given one. Fails with `otherBase` where the patch
   * builds on another version, with `unreadable` where the bytes aren't a packed table.
   */
  unpack: (
    { from, deflated: bytes }: PackedRoutingTable,
    held: { readonly configVersion: number; readonly routingTable: RoutingTable | null },
  ): Result<RoutingTable, PackedRoutingTableError> => {
    try {
      if (from === null) return ok(inflated(bytes) as RoutingTable);
      if (from !== held.configVersion || held.routingTable === null)
        return err({ kind: 'packedBook', code: 'otherBase' });
      return ok(patches.apply(held.routingTable, inflated(bytes) as RoutingTablePatch));
    } catch {
      return err({ kind: 'packedBook', code: 'unreadable' });
    }
  },
};
