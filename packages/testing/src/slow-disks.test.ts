import test, {type ExecutionContext} from 'ava';
import {sendForStatus} from './platform/fake-backend-server.js';
import {lookConfiguration} from './platform/look-configuration.js';
import {PlatformDeployment} from './platform/platform-deployment.js';
import {slowDiskEnvironment} from './platform/slow-disk.js';
import {startAll} from './platform/start-all.js';
import {stopAfterTest} from './platform/stop-after-test.js';
import {waitUntil} from './wait-until.js';

/** Starts three control instances with the given disk latencies and waits until they acknowledge a configuration. */
async function assertConfigurationAcknowledged(t: ExecutionContext, disks: ReadonlyArray<{readonly syncMilliseconds: number}>): Promise<void> {
	const deployment = await PlatformDeployment.prepare({
		entryCount: 0,
		environment: ({ip}) => slowDiskEnvironment(disks[Number(ip.split('.').at(-1)) - 1] ?? {}),
	});
	t.teardown(async () => {
		await stopAfterTest(t, deployment);
	});
	await startAll(deployment.instances);
	t.true(await waitUntil(async () => {
		const statuses = await Promise.all(deployment.controls.map(async ({address}) => sendForStatus({
			method: 'PUT', address, path: '/-/config', body: lookConfiguration,
		})));
		return statuses.includes(200) || undefined;
	}, {description: 'an acknowledged configuration'}));
}

test('control instances whose disks take as long to save a vote as an election lasts elect a leader that accepts a configuration', async t => {
	await assertConfigurationAcknowledged(t, [{syncMilliseconds: 500}, {syncMilliseconds: 500}, {syncMilliseconds: 500}]);
});

test('a configuration is accepted when one control instance has a fast disk and two have slow ones', async t => {
	await assertConfigurationAcknowledged(t, [{syncMilliseconds: 800}, {syncMilliseconds: 0}, {syncMilliseconds: 800}]);
});
