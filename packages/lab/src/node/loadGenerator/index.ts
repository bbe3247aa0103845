export * from './runLoad.js';
