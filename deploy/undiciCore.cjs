'use strict';
// The parts of undici that the programs use, without its mocks, caches and fetch: loading them all costs a third of an edge's start.
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js');
const request = require('../node_modules/undici/lib/api/api-request.js');
Object.assign(Dispatcher.prototype, { request });
module.exports = { Agent: require('../node_modules/undici/lib/dispatcher/agent.js') };
