import type { Ports } from '@martenworks/core-types';
import type { Env } from '@martenworks/settings';
import type { Book } from './book.js';
import type { Claims } from './claims.js';
import type { Freshness } from './freshness.js';
import type { Tally } from './tally.js';
import type { Tracks } from './tracks.js';

export interface Bench {
  readonly env: Env;
  readonly ports: Ports;
  readonly book: Book;
  readonly tracks: Tracks;
  readonly freshness: Freshness;
  readonly tally: Tally;
  readonly claims: Claims;
}
