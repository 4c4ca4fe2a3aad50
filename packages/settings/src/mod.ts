/**
Parses and validates the settings of a daemon and the operators' configuration, and reports each problem with its line. Performs no I/O.

@module
*/
export * from './check-references.js';
export * from './detect-document-kind.js';
export * from './document-problem.js';
export type * from './finding.js';
export * from './format-path.js';
export * from './parse-configuration.js';
export * from './parse-document.js';
export * from './parse-settings.js';
export * from './settings-schema.js';
export type * from './settings.js';
