/**
Durable storage of a replica: a data folder with log segments, snapshots and the replica's identity. Writes are synced to disk before they are acknowledged.

@module
*/
export {DataFolder, type WriteCounters as WrittenCounts} from './data-folder.js';
export * from './file-system.js';
export * from './lock-folder.js';
export * from './open-data-folder.js';
export * from './atomic-file.js';
export type * from './stored-state.js';
