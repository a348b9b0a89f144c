import { background } from '@martenworks/core-types';
import { AdmissionStage } from './admissionStage.js';
import type { StageContext } from './stageContext.js';
import { Rejector } from './rejector.js';
import { LookupStage } from './lookupStage.js';
import type { GatewayRequest } from '../gatewayRequest.js';
import { Stage } from './boundedQueue.js';
import { PlacementStage } from './placementStage.js';
import { RelayStage } from './relayStage.js';
import { SendStage } from './sendStage.js';
import { grants } from '../state/grants.js';

export class Stages {
  readonly live = new Set<GatewayRequest>();
  readonly rejector: Rejector;
  readonly placementStage: PlacementStage;
  readonly sending: SendStage;
  readonly relaying: RelayStage;
  private readonly admit: AdmissionStage;
  private readonly match: LookupStage;
  private readonly door: Stage<GatewayRequest>;

  constructor(private readonly context: StageContext) {
    const arrival = (request: GatewayRequest): number => request.arrivedAt;
    const crowded = (request: GatewayRequest): void =>
      this.rejector.refuse(request, 'no_capacity', 'the stage is full');
    this.rejector = new Rejector(context, () => this.placementStage);
    this.relaying = new RelayStage(context);
    this.sending = new SendStage(
      context,
      this.rejector,
      this.relaying,
      () => this.placementStage,
      () => this.admit.isDraining,
    );
    this.placementStage = new PlacementStage(context, this.rejector, (request, placed) =>
      background.run('send a request', this.sending.send(request, placed)),
    );
    this.match = new LookupStage(
      context,
      this.rejector,
      (request) => this.placementStage.queue(request),
      this.relaying.replay,
    );
    const matching = new Stage(context.settings.queueLimit, arrival, this.match.work, crowded);
    this.admit = new AdmissionStage(context, this.rejector, matching.enter);
    this.door = new Stage(context.settings.queueLimit, arrival, this.admit.work, crowded);
  }

  readonly enter = (request: GatewayRequest): void => {
    this.live.add(request);
    request.whenEnded(() => this.live.delete(request));
    const left = (): void => this.rejector.left(request);
    if (request.order.signal.aborted) {
      left();
      return;
    }
    request.order.signal.addEventListener('abort', left, { once: true });
    this.door.enter(request);
  };

  get isDraining(): boolean {
    return this.admit.isDraining;
  }

  readonly drain = (): void => {
    this.admit.isDraining = true;
  };

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
