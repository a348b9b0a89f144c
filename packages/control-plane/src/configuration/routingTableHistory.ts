/** Patches between recent configuration versions of the routing table, for edges that have an older version. */
import type { RoutingTablePatch, PackedRoutingTable, RoutingTable, ActiveRouting } from '@martenworks/core-types';
import { packedRoutingTables, patches } from '@martenworks/route-table';

const maxPatches = 256;

interface Step {
  readonly patch: RoutingTablePatch;
  readonly to: number;
}

/**
 * Keeps the patches between successive configuration versions, and encodes each message once for all edges. Old patches
 * are dropped when all patches together would have as many entries as the routing table.
 */
export class RoutingTableHistory {
  private steps: Step[] = [];
  private packed = new Map<number, PackedRoutingTable>();
  private packedFullTable: PackedRoutingTable | null = null;
  private current: ActiveRouting | null = null;

  /** Records the current routing; has no effect if its configuration version is the current one. */
  readonly record = (routing: ActiveRouting | null): void => {
    if (routing === null || routing.configVersion === this.current?.configVersion) return;
    const previous = this.current;
    this.current = routing;
    this.packed = new Map();
    this.packedFullTable = null;
    if (previous === null) return;
    const isKeyUseUnchanged = (previous.table.customers === null) === (routing.table.customers === null);
    if (routing.configVersion < previous.configVersion || !isKeyUseUnchanged) this.steps = [];
    else
      this.append(
        { patch: patches.diff(previous.configVersion, previous.table, routing.table), to: routing.configVersion },
        routing.table,
      );
  };

  private readonly append = (step: Step, routingTable: RoutingTable): void => {
    this.steps.push(step);
    let entryCount = 0;
    let keptCount = 0;
    while (keptCount < this.steps.length && keptCount < maxPatches) {
      entryCount += patches.size((this.steps[this.steps.length - 1 - keptCount] as Step).patch);
      if (entryCount >= routingTable.routes.length + (routingTable.customers?.length ?? 0)) break;
      keptCount += 1;
    }
    this.steps = keptCount === 0 ? [] : this.steps.slice(-keptCount);
  };

  /**
   * Returns the message that brings an edge from its configuration version to the current one: a patch if the patches
   * since then are kept, otherwise the full table. Null if the edge is up to date.
   */
  readonly messageFrom = (configVersion: number): PackedRoutingTable | null => {
    if (this.current === null || this.current.configVersion === configVersion) return null;
    const cached = this.packed.get(configVersion);
    if (cached !== undefined) return cached;
    const patch = this.patchFrom(configVersion);
    if (patch === null) return this.packFullTable(this.current.table);
    const packed = packedRoutingTables.packPatch(patch);
    this.packed.set(configVersion, packed);
    return packed;
  };

  private readonly packFullTable = (routingTable: RoutingTable): PackedRoutingTable => {
    this.packedFullTable ??= packedRoutingTables.packTable(routingTable);
    return this.packedFullTable;
  };

  private readonly patchFrom = (configVersion: number): RoutingTablePatch | null => {
    const first = this.steps.findIndex(({ patch }) => patch.from === configVersion);
    if (first === -1) return null;
    return this.steps
      .slice(first)
      .map(({ patch }) => patch)
      .reduce((combined, next) => patches.merge(combined, next));
  };
}
