/** First stage: admits a request if this gateway may serve and the caller's key is granted. */
import { apiKeys } from '@martenworks/core-types';
import type { StageContext } from './stageContext.js';
import type { Rejector } from './rejector.js';
import type { GatewayRequest } from '../gatewayRequest.js';
import { grants } from '../state/grants.js';

/** Finds the tenant of the request's key. */
export class AdmissionStage {
  /** Set once the gateway closes; every new request is then rejected. */
  isDraining = false;

  constructor(
    private readonly context: StageContext,
    private readonly rejector: Rejector,
    private readonly next: (request: GatewayRequest) => void,
  ) {}

  /** Admits the request to the next stage or rejects it. */
  readonly handle = (request: GatewayRequest): void => {
    if (request.isEnded) return;
    if (this.isDraining) {
      this.rejector.reject(request, 'draining', 'this gateway is closing');
      return;
    }
    const view = this.context.stateView.view();
    if (view === null || !this.context.freshness.isFresh()) {
      this.rejector.reject(request, 'not_fresh', 'this gateway has not heard a majority of control nodes lately');
      return;
    }
    if (request.completion.key === null) {
      this.rejector.reject(request, 'unknown_key', 'no bearer key was given');
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
