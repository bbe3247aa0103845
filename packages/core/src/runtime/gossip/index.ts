export * from './chooseGossipPeers.js';
export * from './gossipLog.js';
