/** Admission of callers' requests: by route, key and size limits of the routing table in force. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { keys } from '@martenworks/core-types';
import type { Customer, HeaderCodec, Random } from '@martenworks/core-types';
import { shares } from '@martenworks/route-table';
import type { RoutingTableView, RouteView } from '@martenworks/route-table';
import type { Admission } from '../edgeContext.js';
import { admissionErrors } from '../errors.js';
import type { AdmissionError, CallerGone } from '../errors.js';
import type { Call } from './call.js';

/** What a request is admitted by: its route, and the customer whom its key belongs to (null for a public route). */
interface Grant {
  readonly view: RouteView;
  readonly customer: Customer | null;
}

const pathOf = (target: string): string => {
  const end = target.search(/[?#]/);
  return end < 0 ? target : target.slice(0, end);
};

/** Admits requests, and tells later whether an admission still holds. */
export class RequestAdmission {
  constructor(
    private readonly wire: HeaderCodec,
    private readonly random: Random,
    /** The routing table in force; null as long as the edge doesn't know it for sure. */
    private readonly admittingView: () => RoutingTableView | null,
    private readonly view: () => RoutingTableView | null,
  ) {}

  /** Reads one request and admits it, or tells why not. */
  readonly admit = async (call: Call): Promise<Result<Admission, AdmissionError | CallerGone>> => {
    const view = this.admittingView();
    if (view === null) return err(admissionErrors.notReady);
    const { limits } = view.routingTable;
    if (call.headerBytes > limits.headerBytes) return err(admissionErrors.headersTooLarge);
    const order = this.wire.order(call.headers);
    if (order.isErr()) return err(admissionErrors.malformedHeaders(order.error));
    const keyHash = order.value.key === null ? null : keys.hash(order.value.key);
    const early = this.grant(call, keyHash);
    if (early.isErr()) return err(early.error);
    const body = await call.body(limits.bodyBytes);
    if (body.isErr()) return err(body.error.code === 'CALLER_GONE' ? body.error : admissionErrors.bodyTooLarge);
    return this.grant(call, keyHash).map(
      (grant): Admission => ({
        call,
        order: order.value,
        keyHash,
        ...grant,
        pool: shares.draw(grant.view.route, this.random.fraction()),
        body: body.value,
      }),
    );
  };

  /**
   * Whether what a request was admitted by still holds: its route, its key, the key's customer and what that may share.
   */
  readonly isStanding = ({ call, view, customer, keyHash }: Admission): boolean => {
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
