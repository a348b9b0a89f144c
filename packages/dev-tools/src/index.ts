/** Checks of the source tree that run in `npm test`; nothing here is part of a shipped program. */
export { docBudgets } from './docBudgets.js';
export type { DocBudgets } from './docBudgets.js';
export { missingDocs } from './missingDocs.js';
