/** Validation of settings and configurations. */
export * from './gatewayConfigCheck.js';
export * from './gatewaySettings.js';
export * from './nodeSettings.js';
