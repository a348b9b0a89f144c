/**
 * Outcomes of the requests that this gateway claimed, for replays and for other gateways, which cannot get them from
 * anywhere else. They are stored in memory only; the outcome of a missing entry is unknown.
 */

/** Limits of the store: number of entries, total bytes, and bytes of one response. */
const maxEntries = 4_096;
const maxBytes = 64 * 1024 * 1024;
const maxResponseBytes = 256 * 1024;

/** The outcome of a claimed request, as sent between gateways; `datas` are the response's chunks in order. */
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

/** Stores outcomes up to the limits, beyond which it evicts the oldest entries whose requests have ended. */
export class ResponseStore {
  private readonly entries = new Map<string, StoredResponse>();
  private bytes = 0;

  /** Records that the request of the claimant with this id starts. */
  readonly recordStart = (claimantId: string): void => this.put(claimantId, { state: { kind: 'running' }, bytes: 0 });

  /** Records the outcome of the claimant's request; a response over the size limit is stored as unknown. */
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

  /** The outcome of the claimant's request. */
  readonly stateOf = (claimantId: string): StoredResponseState =>
    this.entries.get(claimantId)?.state ?? { kind: 'unknown' };
}
