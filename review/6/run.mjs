// MIXED: an answer of a replica that ends early is filled up with the answer of another replica and looks complete.
import http from 'node:http';
import { Deployment, Replica, callerHeaders, configuration, freshId, now, pause, runCase } from '../lib-2/harness.mjs';

/**
 * As on the sheet: `garble` at a share of 0.6 of the replicas, which break off 0.03 of their answers, for 5 s;
 * here four times, 1.5 s apart.
 */
const replicaCount = 5;
const troubledCount = 3;
const brokenShare = 0.03;
const troubleMs = 5000;
const apartMs = 1500;
const troubles = 4;
/** As on the sheet, for `bayhold-check`. */
const callsPerSecond = 149;
const trafficMs = troubles * (troubleMs + apartMs) + apartMs;
/** The share of runs that end with a failure of the application. */
const refusedShare = 0.5;

const refusal = (id) => JSON.stringify({ error: 'conflict', message: `the pack of ${id} is being reserved by another rider, ask again later` });
const events = (id) => [1, 2, 3, 4, 5, 6].map((at) => `id: ${at}\ndata: ${id} token ${at} of the confirmation\n\n`);

/** What each replica made as its whole answer to each request. */
const made = new Map();
const state = { isTroubled: false, broken: 0 };

const answer = async (request, response, replica) => {
  const id = request.headers['try-id'];
  const isRefusal = Math.random() < refusedShare;
  const parts = isRefusal ? [refusal(id)] : events(id);
  const after = Number(request.headers['last-event-id'] ?? 0);
  made.set(id, [...(made.get(id) ?? []), { status: isRefusal ? 409 : 200, body: parts.join('') }]);
  const isBroken = state.isTroubled && replica.isTroubled && Math.random() < brokenShare;
  if (isRefusal) {
    const [text] = parts;
    response.writeHead(409, replica.heads(request, { 'Content-Type': 'application/json', 'Content-Length': text.length }));
    response.write(isBroken ? text.slice(0, text.length / 2) : text);
  } else {
    response.writeHead(200, replica.heads(request, { 'Content-Type': 'text/event-stream' }));
    for (const [at, event] of parts.entries()) {
      if (at < after) continue;
      if (isBroken && at === 3) break;
      response.write(event);
      await pause(4);
    }
  }
  if (!isBroken) return response.end();
  state.broken += 1;
  replica.deployment.journal.note(`replica ${replica.id}: breaks off its answer ${isRefusal ? 409 : 200} to ${id}`);
  await pause(5);
  return response.destroy();
};

const call = (deployment, edge, agent) =>
  new Promise((resolve) => {
    const id = freshId();
    const [ip, port] = deployment.public(edge).split(':');
    const headers = callerHeaders({ id, leftMs: 3000, more: { 'Token-Count': '40,6', 'Prompt-Prefix': `${freshId(4)}:40` } });
    const outcome = { id, status: 0, isWhole: false, body: '', error: null };
    const startedAt = now();
    const end = () => resolve({ ...outcome, ms: Math.round(now() - startedAt) });
    const request = http.request({ method: 'POST', host: ip, port, path: '/resume/1', headers, agent, timeout: 5000 }, (response) => {
      outcome.status = response.statusCode;
      response.on('data', (chunk) => (outcome.body += chunk.toString('utf8')));
      response.on('end', () => {
        outcome.isWhole = response.complete;
        end();
      });
      response.on('error', end);
    });
    request.on('timeout', () => request.destroy());
    request.on('error', (cause) => {
      outcome.error = cause.code ?? cause.message;
      end();
    });
    request.end('{}');
  });

await runCase(import.meta.url, async ({ journal, hasTrouble }) => {
  const deployment = new Deployment(journal, { edges: 2 });
  try {
    for (let at = 1; at <= replicaCount; at += 1) {
      const replica = await new Replica(deployment, { ip: `127.${deployment.subnet}.5.${at}`, answer, slots: 24 }).open();
      replica.isTroubled = at <= troubledCount;
    }
    await deployment.start();
    if ((await deployment.order('PUT', '/config', { base: 0, body: configuration(1) })) !== 200) throw new Error('no configuration');
    if (!(await deployment.areEdgesReady())) throw new Error('the edges are not ready');
    await pause(5000);
    const agents = deployment.named('edge').map((edge) => ({ edge, agent: new http.Agent({ keepAlive: true, maxSockets: 40 }) }));
    const calls = [];
    const startedAt = now();
    while (now() - startedAt < trafficMs) {
      const sinceMs = now() - startedAt;
      state.isTroubled = hasTrouble && sinceMs < trafficMs - apartMs && sinceMs % (troubleMs + apartMs) > apartMs;
      const { edge, agent } = agents[calls.length % agents.length];
      calls.push(call(deployment, edge, agent));
      await pause(Math.max(0, startedAt + (calls.length * 1000) / callsPerSecond - now()));
    }
    const outcomes = await Promise.all(calls);
    const isMade = ({ id, status, body }) => (made.get(id) ?? []).some((one) => one.status === status && one.body === body);
    const looksComplete = outcomes.filter((outcome) => outcome.isWhole && made.has(outcome.id) && outcome.status < 500 && !isMade(outcome));
    for (const { id, status, body, ms } of looksComplete) journal.note(`caller: ${id} gets a complete answer that no replica made, after ${ms} ms: ${status} ${JSON.stringify(body)}`);
    for (const { id, status, isWhole, error, ms } of outcomes) if (!isWhole) journal.note(`caller: ${id} ends without a whole answer: status ${status}, ${error}, after ${ms} ms`);
    const served = outcomes.filter(({ isWhole }) => isWhole).length;
    if (served < outcomes.length / 2) throw new Error('most calls were not answered');
    return { isBroken: looksComplete.length > 0, why: `${looksComplete.length} of ${outcomes.length} answers look complete and are of no replica; ${state.broken} answers were broken off` };
  } finally {
    await deployment.stop();
  }
});
