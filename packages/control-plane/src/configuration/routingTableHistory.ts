/** The differences between the last configuration versions of the routing table, as edges are sent them. */
import type { RoutingTablePatch, PackedRoutingTable, RoutingTable, ActiveRouting } from '@martenworks/core-types';
import { packedRoutingTables, patches } from '@martenworks/route-table';

const mostPatches = 256;

interface Step {
  readonly patch: RoutingTablePatch;
  readonly to: number;
}

/** Keeps the differences between successive configuration versions, as many as name no more entries together than the routing table does, and packs each message once for all edges. */
export class RoutingTableHistory {
  private steps: Step[] = [];
  private packed = new Map<number, PackedRoutingTable>();
  private whole: PackedRoutingTable | null = null;
  private current: ActiveRouting | null = null;

  /** Takes the routing in force now; the same configuration version again changes nothing. */
  readonly note = (routes: ActiveRouting | null): void => {
    if (routes === null || routes.configVersion === this.current?.configVersion) return;
    const before = this.current;
    this.current = routes;
    this.packed = new Map();
    this.whole = null;
    if (before === null) return;
    const isKeyedAsBefore = (before.table.customers === null) === (routes.table.customers === null);
    if (routes.configVersion < before.configVersion || !isKeyedAsBefore) this.steps = [];
    else
      this.append(
        { patch: patches.diff(before.configVersion, before.table, routes.table), to: routes.configVersion },
        routes.table,
      );
  };

  private readonly append = (step: Step, routingTable: RoutingTable): void => {
    this.steps.push(step);
    let entries = 0;
    let kept = 0;
    while (kept < this.steps.length && kept < mostPatches) {
      entries += patches.size((this.steps[this.steps.length - 1 - kept] as Step).patch);
      if (entries >= routingTable.routes.length + (routingTable.customers?.length ?? 0)) break;
      kept += 1;
    }
    this.steps = kept === 0 ? [] : this.steps.slice(-kept);
  };

  /** What brings an edge from its configuration version to the one in force: null where it has that one, a patch where one is known and smaller, else the whole table. */
  readonly messageFrom = (configVersion: number): PackedRoutingTable | null => {
    if (this.current === null || this.current.configVersion === configVersion) return null;
    const held = this.packed.get(configVersion);
    if (held !== undefined) return held;
    const patch = this.patchFrom(configVersion);
    if (patch === null) return this.packWhole(this.current.table);
    const packed = packedRoutingTables.packPatch(patch);
    this.packed.set(configVersion, packed);
    return packed;
  };

  private readonly packWhole = (routingTable: RoutingTable): PackedRoutingTable => {
    this.whole ??= packedRoutingTables.packTable(routingTable);
    return this.whole;
  };

  private readonly patchFrom = (configVersion: number): RoutingTablePatch | null => {
    const first = this.steps.findIndex(({ patch }) => patch.from === configVersion);
    if (first === -1) return null;
    return this.steps
      .slice(first)
      .map(({ patch }) => patch)
      .reduce((joined, next) => patches.merge(joined, next));
  };
}
