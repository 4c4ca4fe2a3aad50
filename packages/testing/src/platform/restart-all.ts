import {waitUntil} from '../wait-until.js';
import {type PlatformDeployment} from './platform-deployment.js';
import {startAll} from './start-all.js';

/**
Kills all processes of a deployment at once, restarts them, and waits until each entry instance serves requests.

@param deployment The deployment.
@param serve Sends a request through an entry instance, and returns whether it was served.
@throws If an entry instance serves none in time.
@example
```ts
await restartAll(deployment, async entry => (await send(entry)).status === 200);
```
*/
export async function restartAll({instances, entries}: PlatformDeployment, serve: (entry: number) => Promise<boolean>): Promise<void> {
	await Promise.all(instances.map(async instance => instance.process.kill('SIGKILL')));
	await Promise.all(instances.map(async instance => instance.writeSettings({isFounding: false})));
	await startAll(instances);

	await waitUntil(async () => {
		const served = await Promise.all(entries.map(async (_, entry) => serve(entry)));
		return served.every(Boolean) || undefined;
	}, {description: 'a response of each entry instance after the restart of all processes'});
}
