/** The streams of a connection: messages stay in order within a stream, and may overtake those of other streams. */

/** The stream of topics that have no stream of their own. */
const mainStream = 'main';

const streamsByTopic: Readonly<Record<string, string>> = {
  keepalive: 'keepalive',
  state: 'state',
  endpoints: 'endpoints',
  prefixCaches: 'prefixCaches',
  prefixCacheRelay: 'prefixCaches',
  statePage: 'statePage',
  stateBehind: 'stateBehind',
  prepare: 'agreement',
  accept: 'agreement',
  committed: 'agreement',
};

/** Maps topics to streams. */
export const streams = {
  /**
   * Returns the stream of a topic. Messages on one stream arrive in the order in which they were sent; large messages
   * on different streams share the connection round-robin. A reply uses the stream of its call. Topics without a stream
   * of their own share one.
   */
  of: (topic: string): string =>
    Object.hasOwn(streamsByTopic, topic) ? (streamsByTopic[topic] as string) : mainStream,
};
