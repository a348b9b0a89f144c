import { expect } from 'chai';
import { eventText, responseHead } from './edgeHarness.js';
import { answerWith, breakOffAfter, observe, testedId } from './scriptedReplicas.js';
import type { Observation, Script } from './scriptedReplicas.js';

const kind = 'resumable stream';
const events = (...ids: readonly number[]): string => ids.map((id) => eventText(testedId, id)).join('');

/** Status, completeness and body of each response that the caller received. */
const received = ({ responses }: Observation): readonly unknown[] =>
  responses.map(({ status, isComplete, body }) => [status, isComplete, body]);

const resume = (...scripts: readonly Script[]): Promise<Observation> => observe({ kind, scripts });

describe('a stream that another replica continues, over real sockets', function () {
  this.timeout(60_000);

  // Guards against ORDER: pieces that come twice, since the position of the stream has no id that a replica can find.
  for (const [title, last] of [
    ['an event without an id', 'data: without an id\n\n'],
    ['an event with an empty id', 'id:\ndata: a\n\n'],
    ['an event with an id field without a value', 'id\ndata: a\n\n'],
    ['an event whose id no header can carry', 'id: \u00e9\ndata: a\n\n'],
    ['an event whose last id is empty', 'id: 3\nid:\ndata: a\n\n'],
  ] as const)
    it(`given ${title} as the last one forwarded, when its replica breaks off, then no other replica is asked, and the caller gets a truncated stream`, async () => {
      const sent = `${events(1)}${last}`;
      const observation = await resume(breakOffAfter(sent));
      expect(received(observation)).to.deep.equal([[200, false, sent]]);
      expect(observation.requests.length).to.equal(1);
    });

  for (const [title, tail] of [
    ['a comment', ': still there\n\n'],
    ['the last of several ids', 'id: 1\nid: 2\ndata: a\n\n'],
    ['an id between carriage returns', 'data: a\r\nid: 2\r\n\r\n'],
  ] as const)
    it(`given a stream that breaks off behind ${title}, when another replica continues it, then it is asked to do so after the last id`, async () => {
      const lastId = tail.includes('id: 2') ? 2 : 1;
      const sent = `${events(1)}${tail}`;
      const observation = await resume(breakOffAfter(sent));
      const rest = lastId === 2 ? events(3) : events(2, 3);
      expect(received(observation)).to.deep.equal([[200, true, `${sent}${rest}`]]);
      expect(observation.requests.map(({ lastEventId }) => lastEventId).sort()).to.deep.equal([0, lastId]);
    });

  // Guards against MIXED: events of one whole response that are taken for repeated ones and left out.
  for (const [title, body] of [
    ['an id that comes twice', 'id: 1\ndata: a\n\nid: 1\ndata: b\n\n'],
    ['ids that fall', 'id: 2\ndata: a\n\nid: 1\ndata: b\n\n'],
    ['an id that is no number and comes twice', 'id: a\ndata: a\n\nid: a\ndata: b\n\n'],
    ['an empty id behind a number', 'id: 1\ndata: a\n\nid:\ndata: b\n\n'],
    ['ids that differ only above 53 bits', 'id: 9007199254740992\ndata: a\n\nid: 9007199254740993\ndata: b\n\n'],
  ] as const)
    it(`given a whole stream with ${title}, when it is relayed, then the caller gets every event`, async () => {
      expect(received(await resume(answerWith(body)))).to.deep.equal([[200, true, body]]);
    });

  // Guards against ORDER: events that a replica sends again since it begins from the start.
  for (const [title, ids] of [
    ['that are numbers', ['1', '2', '3']],
    ['above 53 bits', ['9007199254740992', '9007199254740993', '9007199254740994']],
    ['that are no numbers', ['a', 'c', 'b']],
  ] as const)
    it(`given ids ${title}, when the replica that continues a stream begins from the start, then the caller gets each event once`, async () => {
      const [first, second, third] = ids.map((id) => `id: ${id}\ndata: ${id}\n\n`) as [string, string, string];
      const comment = ': from the start\n\n';
      const again = `${comment}${first}data: between\n\n${second}${third}`;
      const observation = await resume(breakOffAfter(`${first}data: between\n\n${second}`), answerWith(again));
      const whole = `${first}data: between\n\n${second}${comment}${third}`;
      expect(received(observation)).to.deep.equal([[200, true, whole]]);
    });

  // Guards against MIXED: a response of another kind that is joined to a stream.
  const otherKinds: readonly (readonly [title: string, script: Script])[] = [
    ['a document with status 200', answerWith('{"error":"none"}', ['Content-Type: application/json'])],
    ['events with status 201', answerWith(events(2), undefined, '201 Created')],
    [
      'no content',
      ({ socket, tryId }) => void socket.write(`HTTP/1.1 204 None\r\nTry-Id: ${tryId}\r\nServer-Seal: s\r\n\r\n`),
    ],
    ['encoded events', answerWith(events(2), ['Content-Type: text/event-stream', 'Content-Encoding: gzip'])],
    [
      'without a seal',
      ({ socket, tryId }) => void socket.write(`${responseHead('200 OK', tryId, ['Content-Length: 3'])}a\n\n`),
    ],
    [
      'another request',
      ({ socket }) =>
        void socket.write(`${responseHead('200 OK', 'another', ['Server-Seal: s', 'Content-Length: 3'])}a\n\n`),
    ],
    ['a failure 409', answerWith(events(2), undefined, '409 Conflict')],
    ['a failure 500', answerWith(events(2), undefined, '500 Failed')],
    [
      'a rejection',
      ({ socket, tryId }) =>
        void socket.write(`HTTP/1.1 503 Full\r\nTry-Id: ${tryId}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`),
    ],
  ];
  for (const [title, script] of otherKinds)
    it(`given a replica that answers ${title} when it is to continue a stream, when a third one continues it, then the caller gets one whole stream`, async () => {
      const observation = await resume(breakOffAfter(events(1)), script);
      expect(received(observation)).to.deep.equal([[200, true, events(1, 2, 3)]]);
      expect(observation.requests.length).to.equal(3);
    });

  for (const heads of [[], ['Content-Type: Text/Event-Stream; charset=utf-8']])
    it(`given a replica that writes the media type of a stream as ${heads[0] ?? 'nothing'}, when it continues one, then the caller gets one whole stream`, async () => {
      const observation = await resume(breakOffAfter(events(1)), answerWith(events(2, 3), heads));
      expect(received(observation)).to.deep.equal([[200, true, events(1, 2, 3)]]);
      expect(observation.requests.length).to.equal(2);
    });
});
