/** Checks of the source tree. Development only: no shipped program uses this package. */
export { docBudgets } from './docBudgets.js';
export type { DocBudgets } from './docBudgets.js';
export { missingDocs } from './missingDocs.js';
