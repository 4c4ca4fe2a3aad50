/**
Runs a replica of the log on an instance: persists its steps, applies committed entries to a state machine, and encodes messages between replicas.

@module
*/
export * from './replica-codec.js';
export * from './replica-driver.js';
export * from './state-machine.js';
export * from './step-notifier.js';
