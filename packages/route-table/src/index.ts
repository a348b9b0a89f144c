export * from './books.js';
export * from './match.js';
export * from './salts.js';
export * from './patches.js';
export * from './packedBooks.js';
