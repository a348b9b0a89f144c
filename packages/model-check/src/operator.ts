/** Operators of a schedule, who request configuration changes and report the replies to the checker. */
import { err, ok } from 'neverthrow';
import { proposalErrors } from '@martenworks/control-plane';
import type { Proposer } from '@martenworks/control-plane';
import type { CommittedState, Change, ActiveRouting } from '@martenworks/core-types';
import type { Checker, ChangeRequest } from './checker.js';
import type { ModelNode } from './modelNode.js';

const proposeTimeoutMs = 3_000;

/** The arguments of the proposal that the configuration service would make for a request. */
const proposalOf = (request: ChangeRequest): Parameters<Proposer['propose']> => {
  const routing = { configVersion: request.configVersion, table: {}, source: request.id } as unknown as ActiveRouting;
  const change: Change = { id: request.id, digest: request.id, body: { kind: 'routing', base: request.base, routing } };
  const check = (state: CommittedState) => {
    const configVersion = state.routing?.configVersion ?? 0;
    if (configVersion === request.base) return ok(change);
    return err(proposalErrors.conflict(configVersion, `version ${configVersion} is active`));
  };
  return [check, request.id, request.id, proposeTimeoutMs];
};

/** One operator. It bases each change request on the newest version it knows, and may resend its last one. */
export class Operator {
  private newestKnownVersion = 0;
  private requestCount = 0;
  private lastRequest: ChangeRequest | null = null;

  constructor(
    private readonly number: number,
    private readonly checker: () => Checker,
  ) {}

  /** Sends a new change request to a node; resolves to whether it was acknowledged. */
  readonly requestChange = (node: ModelNode): Promise<boolean> => {
    this.requestCount += 1;
    this.lastRequest = {
      id: `ways/${this.number}-${this.requestCount}`,
      base: this.newestKnownVersion,
      configVersion: this.newestKnownVersion + 1,
    };
    return this.submit(this.lastRequest, node);
  };

  /** Resends the last request; returns false if there is none. */
  readonly resend = (node: ModelNode): boolean => {
    if (this.lastRequest === null) return false;
    void this.submit(this.lastRequest, node);
    return true;
  };

  private readonly submit = async (request: ChangeRequest, node: ModelNode): Promise<boolean> => {
    const outcome = await node.propose(...proposalOf(request));
    if (outcome.isOk()) {
      this.checker().recordAcknowledgement(request, outcome.value.logIndex);
      this.newestKnownVersion = Math.max(this.newestKnownVersion, request.configVersion);
      return true;
    }
    if (outcome.error.code === 'conflict' || outcome.error.code === 'rejected')
      this.checker().recordRejection(request, node.name);
    return false;
  };

  /** Reads the active configuration version; resolves to whether the node confirmed the read. */
  readonly read = async (node: ModelNode): Promise<boolean> => {
    const minIndex = this.checker().minReadIndex();
    const state = await node.read();
    if (state === null) return false;
    this.checker().recordRead(minIndex, state.logIndex, node.name);
    this.newestKnownVersion = Math.max(this.newestKnownVersion, state.routing?.configVersion ?? 0);
    return true;
  };
}
