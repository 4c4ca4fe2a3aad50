import {waitUntil} from '../wait-until.js';
import {sendForStatus} from './fake-backend-server.js';
import {type PlatformDeployment} from './platform-deployment.js';

/**
Submits a configuration to the control instances in turn until one of them acknowledges it.

@param deployment The deployment.
@param body The configuration.
@throws If none acknowledges it in time.
@example
```ts
await putConfiguration(deployment, {version: 1, routes, services, limits, tenants});
```
*/
export async function putConfiguration(deployment: Pick<PlatformDeployment, 'controls'>, body: unknown): Promise<void> {
	await waitUntil(async () => {
		for (const {address} of deployment.controls) {
			if (await sendForStatus({
				method: 'PUT', address, path: '/-/config', body,
			}) === 200) {
				return true;
			}
		}

		return undefined;
	}, {description: 'an acknowledged configuration'});
}
