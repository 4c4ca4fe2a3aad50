import {BackendProcess, type BackendProcessOptions} from './backend-process.js';
import {type PlatformDeployment} from './platform-deployment.js';
import {stopAfterTest, type TestEnd} from './stop-after-test.js';

/** Options of {@linkcode startBackendProcesses}. */
export type StartBackendProcessesOptions = {
	readonly deployment: PlatformDeployment;
	readonly servers: ReadonlyArray<Omit<BackendProcessOptions, 'control'>>;
};

/**
Starts backend servers, each in a process of its own, that announce themselves to the first control instance until the test ends. The deployment ends with them.

@param t The test.
@param options The deployment and the servers.
@returns The running servers.
@example
```ts
const backends = await startBackendProcesses(t, {deployment, servers: [{id: 'i-1', service: 'labels', answer: {}}]});
```
*/
export async function startBackendProcesses(t: TestEnd, {deployment, servers}: StartBackendProcessesOptions): Promise<readonly BackendProcess[]> {
	const control = deployment.controls[0]!.address;
	const backends = await Promise.all(servers.map(async server => BackendProcess.start({...server, control})));
	t.teardown(async () => {
		for (const backend of backends) {
			backend.stop();
		}

		await stopAfterTest(t, deployment);
	});
	return backends;
}
