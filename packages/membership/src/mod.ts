/**
Who is there: backend servers and daemons, their failure detection, and the digests that spread it.

@module
*/
export * from './server-table.js';
