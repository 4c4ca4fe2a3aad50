/**
The data folder: log segments, snapshots and the replica's identity, synced before they are acknowledged.

@module
*/
export type * from './stored-state.js';
