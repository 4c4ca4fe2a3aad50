/**
The operator command line. oclif loads its commands from this module.

@module
*/
export * from './commands.js';
