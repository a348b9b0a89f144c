/**
 * What this gateway keeps of the keyed requests it claimed: it alone can tell another gateway what became of one. Kept
 * in memory only; an entry that is gone reads as unknown.
 */

/** Bounds of the store: entries, their bytes in all, and the bytes of one response. */
const maxEntries = 4_096;
const maxBytes = 64 * 1024 * 1024;
const maxResponseBytes = 256 * 1024;

/** What is known of a claimed request; `datas` are the response's pieces in order. Sent between gateways. */
export type StoredResponseState =
  | { readonly kind: 'running' }
  | { readonly kind: 'done'; readonly datas: readonly string[] }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'not run' };

interface StoredResponse {
  readonly state: StoredResponseState;
  readonly bytes: number;
}

const sizeOf = (state: StoredResponseState): number =>
  state.kind === 'done' ? state.datas.reduce((sum, data) => sum + data.length, 0) : 0;

/** Bounded in entries and bytes; drops the oldest entry whose request has ended. */
export class ResponseStore {
  private readonly entries = new Map<string, StoredResponse>();
  private bytes = 0;

  /** Notes that the claimant with this id starts to run. */
  readonly recordStart = (claimantId: string): void => this.put(claimantId, { state: { kind: 'running' }, bytes: 0 });

  /** Notes what became of it; a response over the size limit is kept as unknown. */
  readonly recordOutcome = (claimantId: string, state: StoredResponseState): void => {
    const bytes = sizeOf(state);
    this.put(claimantId, bytes > maxResponseBytes ? { state: { kind: 'unknown' }, bytes: 0 } : { state, bytes });
  };

  private readonly put = (claimantId: string, response: StoredResponse): void => {
    this.bytes += response.bytes - (this.entries.get(claimantId)?.bytes ?? 0);
    this.entries.delete(claimantId);
    this.entries.set(claimantId, response);
    for (const [oldestId, oldest] of this.entries) {
      if (this.entries.size <= maxEntries && this.bytes <= maxBytes) return;
      if (oldest.state.kind === 'running') continue;
      this.bytes -= oldest.bytes;
      this.entries.delete(oldestId);
    }
  };

  /** What is known of the claimant's request. */
  readonly stateOf = (claimantId: string): StoredResponseState =>
    this.entries.get(claimantId)?.state ?? { kind: 'unknown' };
}
