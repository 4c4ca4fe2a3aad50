/**
Parses and checks the settings of a daemon and the operators' configuration, and names each problem's line; no input or output.

@module
*/
export * from './check-references.js';
export * from './document-kind.js';
export * from './document-problem.js';
export type * from './finding.js';
export * from './format-path.js';
export * from './parse-configuration.js';
export * from './parse-document.js';
export * from './parse-settings.js';
export * from './settings-schema.js';
export type * from './settings.js';
