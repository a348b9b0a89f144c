/** Steps of a schedule, and scripts that replay them. */

/** One step of a schedule. A step of a script that is not possible in the current state is skipped. */
export type Choice =
  // A message in flight: `message` is its label, `at` its index among those with the same label.
  | { readonly do: 'deliver'; readonly message: string; readonly at: number }
  | { readonly do: 'drop'; readonly message: string; readonly at: number }
  | { readonly do: 'double'; readonly message: string; readonly at: number }
  // The oldest pending sync of a node.
  | { readonly do: 'sync'; readonly node: string }
  | { readonly do: 'failSync'; readonly node: string }
  // Processes and disks. `keptShare` of the unsynced bytes (0 to 1) survive the crash.
  | { readonly do: 'crash'; readonly node: string; readonly keptShare: number }
  | { readonly do: 'restart'; readonly node: string }
  | { readonly do: 'loseDisk'; readonly node: string }
  // One direction of a link; `isNoticed` as in `Network.partition`.
  | { readonly do: 'cut'; readonly from: string; readonly to: string; readonly isNoticed: boolean }
  | { readonly do: 'heal'; readonly from: string; readonly to: string }
  // Nodes that join or leave the fleet.
  | { readonly do: 'join'; readonly node: string }
  | { readonly do: 'leave'; readonly node: string }
  // An operator sends a new change request, resends its last one, or reads.
  | { readonly do: 'order'; readonly operator: number; readonly node: string }
  | { readonly do: 'resend'; readonly operator: number; readonly node: string }
  | { readonly do: 'read'; readonly operator: number; readonly node: string }
  // Timed steps of the control node: membership check, commit of a pending change, lease renewal.
  | { readonly do: 'upkeep'; readonly node: string }
  | { readonly do: 'settleRival'; readonly node: string }
  | { readonly do: 'dutyTick'; readonly node: string }
  // Virtual time: to the next timer, or by `ms` milliseconds.
  | { readonly do: 'nextTimer' }
  | { readonly do: 'pass'; readonly ms: number };

/** The kinds of step. */
export type ChoiceKind = Choice['do'];

/** Everything needed to replay a run. `--replay` reads it as JSON. */
export interface Script {
  readonly voters: number;
  readonly seed: number;
  readonly breakName: string | null;
  readonly choices: readonly Choice[];
}

/** All kinds of step, in the order in which their counts are printed. */
export const choiceKinds: readonly ChoiceKind[] = [
  'deliver',
  'drop',
  'double',
  'sync',
  'failSync',
  'crash',
  'restart',
  'loseDisk',
  'cut',
  'heal',
  'join',
  'leave',
  'order',
  'resend',
  'read',
  'upkeep',
  'settleRival',
  'dutyTick',
  'nextTimer',
  'pass',
];
