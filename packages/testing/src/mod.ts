/**
Fake backend servers, managed processes and HTTP clients for tests and the demo; not part of a release.

@module
*/
export * from './announcer.js';
export * from './behaviour.js';
export * from './catches-signal.js';
export * from './deployment.js';
export * from './fake-answer.js';
export * from './fake-engine.js';
export * from './fake-service.js';
export * from './free-ports.js';
export * from './http-client.js';
export * from './managed-process.js';
export * from './naive-choice.js';
export * from './naive-router.js';
export * from './platform/fake-backend-server.js';
export * from './platform/platform-deployment.js';
export * from './process-usage.js';
export * from './send-request.js';
export * from './wait-until.js';
export {seededRandom} from './_seeded-random.js';
export {
	deploymentKeys, digestOf, type DaemonPorts, type DaemonRole,
} from './_settings-file.js';
