/**
The operators' command line; oclif reads its commands from here.

@module
*/
export * from './commands.js';
