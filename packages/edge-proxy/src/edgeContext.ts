import type { CallerOrder, Customer, Ports, ThroughWire } from '@martenworks/core-types';
import type { WayView } from '@martenworks/route-table';
import type { Call } from './call.js';
import type { CoreTouch } from './coreTouch.js';
import type { ExtraBudget } from './extraBudget.js';
import type { ReplicaTracks } from './replicaTracks.js';
import type { ShelfBook } from './shelfBook.js';
import type { AnswerTiming } from './staleWatch.js';
import type { Tally } from './tally.js';
import type { WayPlace, WayQuestion } from './wayPlacing.js';

/** A caller's request as it was let in: by which route, for which customer, under which key (its hash, kept so that it is hashed once). */
export interface Admission {
  readonly call: Call;
  readonly order: CallerOrder;
  readonly keyHash: string | null;
  readonly view: WayView;
  readonly customer: Customer | null;
  readonly pool: string;
  readonly body: Uint8Array;
}

/** What a request on its way needs of the edge that it came to. Times are in milliseconds. */
export interface EdgeContext {
  readonly ports: Ports;
  readonly wire: ThroughWire;
  readonly tracks: ReplicaTracks;
  readonly shelves: ShelfBook;
  readonly budget: ExtraBudget;
  readonly touch: CoreTouch;
  readonly tally: Tally;
  readonly isClosing: boolean;
  readonly isStanding: (admission: Admission) => boolean;
  readonly place: (question: WayQuestion) => WayPlace | null;
  readonly isAnyOpen: (pool: string, avoided: ReadonlySet<string>) => boolean;
  readonly readingId: () => string;
  readonly compare: (timing: AnswerTiming, spentMs: number) => boolean;
  readonly deny: (call: Call, status: number, message: string, comeBackMs: number | null) => void;
}
