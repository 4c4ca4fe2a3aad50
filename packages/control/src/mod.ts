/**
The replicated state and the commands that change it.

@module
*/
export type * from './command.js';
export * from './control-state.js';
