export * from './chooseListeners.js';
export * from './newsLog.js';
