/** Which messages keep their order on a connection, and which may pass each other. */

/** The stream of topics without one of their own. */
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

/** The stream of each topic. */
export const streams = {
  /**
   * Messages of one stream arrive in the order they were sent; large ones of different streams share the connection in
   * turns. A reply takes the stream of its ask. Topics without a stream of their own share one.
   */
  of: (topic: string): string =>
    Object.hasOwn(streamsByTopic, topic) ? (streamsByTopic[topic] as string) : mainStream,
};
