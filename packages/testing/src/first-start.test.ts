import test from 'ava';
import {PlatformDeployment} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {startAll} from './platform/start-all.js';
import {stopAfterTest} from './platform/stop-after-test.js';

const configuration = {
	version: 1,
	routes: [],
	services: [],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tenants: [],
};

for (const restarted of [0, 1, 2]) {
	test(`a control instance that is started again during the first start of the system does not keep the others from forming a group (number ${restarted + 1})`, async t => {
		const deployment = await PlatformDeployment.prepare({entryCount: 0});
		t.teardown(async () => stopAfterTest(t, deployment));
		const {controls} = deployment;
		await startAll(controls.filter((_, index) => index !== restarted));
		await controls[restarted]!.writeSettings({isFounding: false});
		await startAll([controls[restarted]!]);
		await t.notThrowsAsync(putConfiguration(deployment, configuration));
	});
}
