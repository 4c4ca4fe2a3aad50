import {FakeBackendServer, type FakeBackendServerOptions} from './fake-backend-server.js';
import {type PlatformDeployment} from './platform-deployment.js';
import {stopAfterTest, type TestEnd} from './stop-after-test.js';

/** The interval between two announcements of a server, in milliseconds. */
const announceMilliseconds = 300;

/** Options of {@linkcode startBackends}. */
export type StartBackendsOptions = {
	readonly deployment: PlatformDeployment;
	readonly servers: ReadonlyArray<Omit<FakeBackendServerOptions, 'host'>>;
};

/**
Starts backend servers that announce themselves to the first control instance until the test ends. The deployment ends with them.

@param t The test.
@param options The deployment and the servers.
@returns The running servers.
@example
```ts
const backends = await startBackends(t, {deployment, servers: [{id: 'i-1', service: 'labels', answer: () => ({})}]});
```
*/
export async function startBackends(t: TestEnd, {deployment, servers}: StartBackendsOptions): Promise<readonly FakeBackendServer[]> {
	const backends = await Promise.all(servers.map(async server => FakeBackendServer.start({...server, host: '127.0.0.1'})));
	const control = deployment.controls[0]!.address;
	const announceTimer = setInterval(() => {
		for (const backend of backends) {
			void backend.announce(control);
		}
	}, announceMilliseconds);
	t.teardown(async () => {
		clearInterval(announceTimer);
		for (const backend of backends) {
			backend.close();
		}

		await stopAfterTest(t, deployment);
	});
	return backends;
}
