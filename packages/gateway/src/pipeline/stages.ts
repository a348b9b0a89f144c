/** Assembles the pipeline: admission, lookup, placement, sending, relay. */
import { background } from '@martenworks/core-types';
import { AdmissionStage } from './admissionStage.js';
import type { StageContext } from './stageContext.js';
import { Rejector } from './rejector.js';
import { LookupStage } from './lookupStage.js';
import type { GatewayRequest } from '../gatewayRequest.js';
import { QueuedStage } from './queuedStage.js';
import { PlacementStage } from './placementStage.js';
import { RelayStage } from './relayStage.js';
import { SendStage } from './sendStage.js';
import { grants } from '../state/grants.js';

/** The pipeline of one gateway, and its active requests. */
export class Stages {
  /** Requests that have not ended. */
  readonly live = new Set<GatewayRequest>();
  /** Rejects requests of any stage. */
  readonly rejector: Rejector;
  /** Queues and places requests. */
  readonly placementStage: PlacementStage;
  /** Sends placed requests. */
  readonly sendStage: SendStage;
  /** Relays responses. */
  readonly relayStage: RelayStage;
  private readonly admissionStage: AdmissionStage;
  private readonly lookupStage: LookupStage;
  private readonly queuedAdmission: QueuedStage<GatewayRequest>;

  constructor(private readonly context: StageContext) {
    const arrivedAt = (request: GatewayRequest): number => request.arrivedAt;
    const rejectDisplaced = (request: GatewayRequest): void =>
      this.rejector.reject(request, 'no_capacity', 'the queue of the stage is full');
    this.rejector = new Rejector(context, () => this.placementStage);
    this.relayStage = new RelayStage(context);
    this.sendStage = new SendStage(
      context,
      this.rejector,
      this.relayStage,
      () => this.placementStage,
      () => this.admissionStage.isDraining,
    );
    this.placementStage = new PlacementStage(context, this.rejector, (request, placed) =>
      background.run('send a request', this.sendStage.send(request, placed)),
    );
    this.lookupStage = new LookupStage(
      context,
      this.rejector,
      (request) => this.placementStage.enqueue(request),
      this.relayStage.replay,
    );
    const queuedLookup = new QueuedStage(
      context.settings.queueLimit,
      arrivedAt,
      this.lookupStage.handle,
      rejectDisplaced,
    );
    this.admissionStage = new AdmissionStage(context, this.rejector, queuedLookup.enqueue);
    this.queuedAdmission = new QueuedStage(
      context.settings.queueLimit,
      arrivedAt,
      this.admissionStage.handle,
      rejectDisplaced,
    );
  }

  /** Accepts a new request. */
  readonly accept = (request: GatewayRequest): void => {
    this.live.add(request);
    request.onEnd(() => this.live.delete(request));
    const onDisconnect = (): void => this.rejector.onCallerDisconnect(request);
    if (request.completion.signal.aborted) {
      onDisconnect();
      return;
    }
    request.completion.signal.addEventListener('abort', onDisconnect, { once: true });
    this.queuedAdmission.enqueue(request);
  };

  /** Whether new requests are rejected because the gateway is shutting down. */
  get isDraining(): boolean {
    return this.admissionStage.isDraining;
  }

  /** Starts rejecting new requests. */
  readonly drain = (): void => {
    this.admissionStage.isDraining = true;
  };

  /**
   * Called when the state has changed: ends requests that lost their grant and attempts that lost their replica, then
   * places queued requests.
   */
  readonly recheck = (): void => {
    const view = this.context.stateView.view();
    if (view === null) return;
    for (const request of [...this.live]) {
      if (request.tenant === null) continue;
      if (!grants.isKeyGranted(view, request)) this.rejector.reject(request, 'key_revoked', 'the key was revoked');
      else if (request.activeAttempt !== null)
        this.recheckAttempt(request, view.lanes.get(request.laneName)?.repeat === 'once');
      else if (!request.isRelaying) this.placementStage.recheckGrant(request);
    }
    this.placementStage.placeAllQueued();
  };

  private readonly recheckAttempt = (request: GatewayRequest, isAtMostOnceNow: boolean): void => {
    const { activeAttempt } = request;
    request.isAtMostOnce ||= isAtMostOnceNow;
    const record = activeAttempt === null ? undefined : this.context.stateView.record(activeAttempt.replica);
    if (
      activeAttempt !== null &&
      record !== undefined &&
      (record.incarnation > activeAttempt.incarnation || record.state === 'gone')
    )
      activeAttempt.onReplicaRemoved();
  };
}
