export interface Pong {
  readonly generation: number;
  readonly acceptedSlot: number | null;
  readonly incarnation: string;
  readonly running: Record<string, number>;
  readonly counters: number;
}
