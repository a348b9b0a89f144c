/** Steps of a schedule, and scripts of them that run again. */

/** One step of a schedule. A script is a list of these; a step that is not possible where it stands is skipped. */
export type Choice =
  | { readonly do: 'deliver'; readonly message: string; readonly at: number }
  | { readonly do: 'drop'; readonly message: string; readonly at: number }
  | { readonly do: 'double'; readonly message: string; readonly at: number }
  | { readonly do: 'sync'; readonly node: string }
  | { readonly do: 'failSync'; readonly node: string }
  | { readonly do: 'crash'; readonly node: string; readonly keptShare: number }
  | { readonly do: 'restart'; readonly node: string }
  | { readonly do: 'loseDisk'; readonly node: string }
  | { readonly do: 'cut'; readonly from: string; readonly to: string; readonly isNoticed: boolean }
  | { readonly do: 'heal'; readonly from: string; readonly to: string }
  | { readonly do: 'join'; readonly node: string }
  | { readonly do: 'leave'; readonly node: string }
  | { readonly do: 'order'; readonly operator: number; readonly node: string }
  | { readonly do: 'resend'; readonly operator: number; readonly node: string }
  | { readonly do: 'read'; readonly operator: number; readonly node: string }
  | { readonly do: 'upkeep'; readonly node: string }
  | { readonly do: 'settleRival'; readonly node: string }
  | { readonly do: 'dutyTick'; readonly node: string }
  | { readonly do: 'nextTimer' }
  | { readonly do: 'pass'; readonly ms: number };

/** The kinds of step. */
export type ChoiceKind = Choice['do'];

/** What a run needs to happen again: `--replay` takes this as JSON. */
export interface Script {
  readonly voters: number;
  readonly seed: number;
  readonly breakName: string | null;
  readonly choices: readonly Choice[];
}

/** All kinds of step, in the order in which counts of them are printed. */
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
