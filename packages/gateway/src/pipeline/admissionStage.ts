/** First stage: admits a request if the gateway's state is fresh and the caller's key is granted. */
import { apiKeys } from '@martenworks/core-types';
import type { StageContext } from './stageContext.js';
import type { Rejector } from './rejector.js';
import type { GatewayRequest } from '../gatewayRequest.js';
import { grants } from '../state/grants.js';

/** Checks the request's key and finds its tenant. */
export class AdmissionStage {
  /** Set when the gateway shuts down; all new requests are then rejected. */
  isDraining = false;

  constructor(
    private readonly context: StageContext,
    private readonly rejector: Rejector,
    private readonly next: (request: GatewayRequest) => void,
  ) {}

  /** Passes the request to the next stage or rejects it. */
  readonly handle = (request: GatewayRequest): void => {
    if (request.isEnded) return;
    if (this.isDraining) {
      this.rejector.reject(request, 'draining', 'this gateway is shutting down');
      return;
    }
    const view = this.context.stateView.view();
    if (view === null || !this.context.freshness.isFresh()) {
      this.rejector.reject(
        request,
        'not_fresh',
        'no majority of control nodes has recently confirmed the state of this gateway',
      );
      return;
    }
    if (request.completion.key === null) {
      this.rejector.reject(request, 'unknown_key', 'the request has no bearer key');
      return;
    }
    request.keyHash = apiKeys.hash(request.completion.key);
    const tenant = grants.tenantOfKey(view, request.keyHash);
    if (tenant === undefined) {
      this.rejector.reject(request, 'unknown_key', 'the key is not granted');
      return;
    }
    request.tenant = tenant;
    this.next(request);
  };
}
