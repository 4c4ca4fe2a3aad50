/**
A replica of the log on a running instance: its steps on the disk, its state machine, and its messages as they go over a link.

@module
*/
export * from './replica-codec.js';
export * from './replica-driver.js';
export * from './state-machine.js';
export * from './step-waiters.js';
