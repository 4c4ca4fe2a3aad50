import {CrashingServers, type CrashingServersOptions} from './crashing-servers.js';
import {draftConfiguration} from './draft-configuration.js';
import {PlatformDeployment, type PlatformDeploymentOptions} from './platform-deployment.js';
import {putConfiguration} from './put-configuration.js';
import {stopAfterTest, type TestEnd} from './stop-after-test.js';

const announceMilliseconds = 200;

/** Options of {@linkcode startCrashingServers}. */
export type StartCrashingServersOptions = {
	readonly deployment: PlatformDeploymentOptions;
	readonly servers: CrashingServersOptions & {readonly count: number};
};

/** A running deployment and its servers. */
export type StartedCrashingServers = {
	readonly deployment: PlatformDeployment;
	readonly servers: CrashingServers;
};

/**
Starts a deployment with {@linkcode draftConfiguration} and servers that fatal requests crash; both end with the test.

@param t The test.
@param options The sizes, and what the servers do.
@returns The deployment and its servers.
@example
```ts
const {deployment, servers} = await startCrashingServers(t, {deployment: {entryCount: 3}, servers: {count: 8, isFatal, exitDelay: 30, restartDelay: 400, answer}});
```
*/
export async function startCrashingServers(t: TestEnd, options: StartCrashingServersOptions): Promise<StartedCrashingServers> {
	const deployment = await PlatformDeployment.start(options.deployment);
	const servers = new CrashingServers(options.servers);
	await servers.start(options.servers.count);
	const announceTimer = setInterval(() => {
		void servers.announce(deployment.controls[0]!.address);
	}, announceMilliseconds);
	t.teardown(async () => {
		clearInterval(announceTimer);
		servers.stop();
		await stopAfterTest(t, deployment);
	});
	await putConfiguration(deployment, draftConfiguration);
	return {deployment, servers};
}
