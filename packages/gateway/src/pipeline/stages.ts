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

/** The pipeline of one gateway and the requests in it. */
export class Stages {
  /** Requests that have not ended. */
  readonly live = new Set<GatewayRequest>();
  /** Rejects requests of any stage. */
  readonly rejector: Rejector;
  /** Queues and places requests. */
  readonly placementStage: PlacementStage;
  /** Sends placed requests. */
  readonly sending: SendStage;
  /** Relays responses. */
  readonly relaying: RelayStage;
  private readonly admission: AdmissionStage;
  private readonly lookup: LookupStage;
  private readonly entrance: QueuedStage<GatewayRequest>;

  constructor(private readonly context: StageContext) {
    const arrivedAt = (request: GatewayRequest): number => request.arrivedAt;
    const rejectDisplaced = (request: GatewayRequest): void =>
      this.rejector.refuse(request, 'no_capacity', 'the stage is full');
    this.rejector = new Rejector(context, () => this.placementStage);
    this.relaying = new RelayStage(context);
    this.sending = new SendStage(
      context,
      this.rejector,
      this.relaying,
      () => this.placementStage,
      () => this.admission.isDraining,
    );
    this.placementStage = new PlacementStage(context, this.rejector, (request, placed) =>
      background.run('send a request', this.sending.send(request, placed)),
    );
    this.lookup = new LookupStage(
      context,
      this.rejector,
      (request) => this.placementStage.queue(request),
      this.relaying.replay,
    );
    const lookupEntrance = new QueuedStage(context.settings.queueLimit, arrivedAt, this.lookup.work, rejectDisplaced);
    this.admission = new AdmissionStage(context, this.rejector, lookupEntrance.enter);
    this.entrance = new QueuedStage(context.settings.queueLimit, arrivedAt, this.admission.work, rejectDisplaced);
  }

  /** Takes a new request. */
  readonly enter = (request: GatewayRequest): void => {
    this.live.add(request);
    request.whenEnded(() => this.live.delete(request));
    const callerLeft = (): void => this.rejector.left(request);
    if (request.completion.signal.aborted) {
      callerLeft();
      return;
    }
    request.completion.signal.addEventListener('abort', callerLeft, { once: true });
    this.entrance.enter(request);
  };

  /** Whether new requests are rejected because the gateway closes. */
  get isDraining(): boolean {
    return this.admission.isDraining;
  }

  /** Rejects new requests from now on. */
  readonly drain = (): void => {
    this.admission.isDraining = true;
  };

  /** After a change of the state: ends what lost its grant or its replica, and places what can be placed. */
  readonly recheck = (): void => {
    const view = this.context.stateView.view();
    if (view === null) return;
    for (const request of [...this.live]) {
      if (request.tenant === null) continue;
      if (!grants.isKeyGranted(view, request)) this.rejector.refuse(request, 'key_revoked', 'the key was revoked');
      else if (request.activeAttempt !== null)
        this.recheckAttempt(request, view.lanes.get(request.laneName)?.repeat === 'once');
      else if (!request.isRelaying) this.placementStage.renew(request);
    }
    this.placementStage.pumpAll();
  };

  private readonly recheckAttempt = (request: GatewayRequest, isOnceNow: boolean): void => {
    const { activeAttempt } = request;
    request.isOnce ||= isOnceNow;
    const record = activeAttempt === null ? undefined : this.context.stateView.record(activeAttempt.replica);
    if (
      activeAttempt !== null &&
      record !== undefined &&
      (record.incarnation > activeAttempt.incarnation || record.state === 'gone')
    )
      activeAttempt.lost();
  };
}
