/** The packed form of routing tables and patches: JSON, deflated once and sent to every edge. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RoutingTablePatch, PackedRoutingTable, RoutingTable } from '@martenworks/core-types';
import { patches } from './patches.js';

const deflateLevel = 1;
const maxInflatedBytes = 256 * 1_024 * 1_024;

const deflateJson = (value: unknown): Uint8Array => deflateRawSync(JSON.stringify(value), { level: deflateLevel });

const inflateJson = (bytes: Uint8Array): unknown =>
  JSON.parse(inflateRawSync(bytes, { maxOutputLength: maxInflatedBytes }).toString('utf8'));

/** Why unpacking failed: the bytes are not a packed table, or the patch is based on another version. */
export interface PackedRoutingTableError {
  readonly kind: 'packedBook';
  readonly code: 'unreadable' | 'otherBase';
}

/** Packs and unpacks routing tables and their patches. */
export const packedRoutingTables = {
  packTable: (routingTable: RoutingTable): PackedRoutingTable => ({ from: null, deflated: deflateJson(routingTable) }),
  packPatch: (patch: RoutingTablePatch): PackedRoutingTable => ({ from: patch.from, deflated: deflateJson(patch) }),
  /**
   * Returns the packed table; a patch is applied to `base`. Fails with `otherBase` if the patch is based on another
   * version, and with `unreadable` if the bytes are not a packed table.
   */
  unpack: (
    { from, deflated: bytes }: PackedRoutingTable,
    base: { readonly configVersion: number; readonly routingTable: RoutingTable | null },
  ): Result<RoutingTable, PackedRoutingTableError> => {
    try {
      if (from === null) return ok(inflateJson(bytes) as RoutingTable);
      if (from !== base.configVersion || base.routingTable === null)
        return err({ kind: 'packedBook', code: 'otherBase' });
      return ok(patches.apply(base.routingTable, inflateJson(bytes) as RoutingTablePatch));
    } catch {
      return err({ kind: 'packedBook', code: 'unreadable' });
    }
  },
};
