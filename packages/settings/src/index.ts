/** Settings and configurations, checked. */
export * from './gatewayConfigCheck.js';
export * from './gatewaySettings.js';
export * from './nodeSettings.js';
