/** Admission of callers' requests by the routes, keys and size limits of the current routing table. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { apiKeys } from '@martenworks/core-types';
import type { Customer, HeaderCodec, Random } from '@martenworks/core-types';
import { shares } from '@martenworks/route-table';
import type { RoutingTableView, RouteView } from '@martenworks/route-table';
import type { Admission } from '../edgeContext.js';
import { admissionErrors, bodyRejectionOf } from '../errors.js';
import type { AdmissionError, CallerDisconnected } from '../errors.js';
import type { Call } from './call.js';

/** The route that admits a request, and the customer that its key belongs to (null without a known key). */
interface Grant {
  readonly view: RouteView;
  readonly customer: Customer | null;
}

const pathOf = (target: string): string => {
  const end = target.search(/[?#]/);
  return end < 0 ? target : target.slice(0, end);
};

/** Admits requests, and checks later whether an admission is still valid. */
export class RequestAdmission {
  constructor(
    private readonly headerCodec: HeaderCodec,
    private readonly random: Random,
    /** The current routing table; null while the edge can't be sure that it is current. */
    private readonly confirmedView: () => RoutingTableView | null,
    private readonly view: () => RoutingTableView | null,
  ) {}

  /** Reads one request and admits it; fails with the rejection, or because the caller disconnected. */
  readonly admit = async (call: Call): Promise<Result<Admission, AdmissionError | CallerDisconnected>> => {
    const view = this.confirmedView();
    if (view === null) return err(admissionErrors.notReady);
    const { limits } = view.routingTable;
    if (call.headerBytes > limits.headerBytes) return err(admissionErrors.headersTooLarge);
    const metadata = this.headerCodec.requestMetadata(call.headers);
    if (metadata.isErr()) return err(admissionErrors.malformedHeaders(metadata.error));
    const keyHash = metadata.value.key === null ? null : apiKeys.hash(metadata.value.key);
    const early = this.grant(call, keyHash);
    if (early.isErr()) return err(early.error);
    const body = await call.body(limits.bodyBytes);
    if (body.isErr()) return err(bodyRejectionOf(body.error));
    return this.grant(call, keyHash).map(
      (grant): Admission => ({
        call,
        metadata: metadata.value,
        keyHash,
        ...grant,
        pool: shares.draw(grant.view.route, this.random.fraction()),
        body: body.value,
      }),
    );
  };

  /**
   * Whether an admission is still valid: same route and customer, same cache isolation, and no retry or resumption that
   * the route no longer allows.
   */
  readonly isStillAdmitted = ({ call, view, customer, keyHash }: Admission): boolean => {
    const current = this.grant(call, keyHash);
    if (current.isErr()) return false;
    const { view: currentView, customer: currentCustomer } = current.value;
    if (currentView.route.name !== view.route.name) return false;
    if (currentCustomer?.name !== customer?.name || currentCustomer?.isIsolated !== customer?.isIsolated) return false;
    return (currentView.isRetryable || !view.isRetryable) && (currentView.route.isResumable || !view.route.isResumable);
  };

  private readonly grant = (call: Call, keyHash: string | null): Result<Grant, AdmissionError> => {
    const table = this.view();
    const view = table?.match(call.host, pathOf(call.target)) ?? null;
    if (table === null || view === null) return err(admissionErrors.routeNotFound);
    const customer = keyHash === null ? null : table.customerOf(keyHash);
    if (customer === null && table.requiresApiKey && !view.route.isPublic) return err(admissionErrors.keyNotGranted);
    return ok({ view, customer });
  };
}
