import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {BrittleServer} from './platform/brittle-server.js';
import {sendForResponse} from './platform/fake-backend-server.js';
import {lookConfiguration, lookRoute} from './platform/look-configuration.js';
import {PlatformDeployment} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {startBackends} from './platform/start-backends.js';
import {waitUntil} from './wait-until.js';

const configuration = {
	...lookConfiguration,
	routes: [{
		...lookRoute, timeoutMs: 4000, targetLatencyMs: 1000, maxAttempts: 3,
	}],
};
/** The time after which servers that say that they are brittle fall over, in milliseconds. */
const connectivityMilliseconds = 3000;
const measuredMilliseconds = 6000;
/** Twice what the servers can serve, from all instances together. */
const sendMilliseconds = 50;
const serverCount = 3;
/** How often the servers of a service may fall over in one time in which they are brittle. */
const allowedFalls = 2 + (serverCount / 10);

test('servers that bear few rejections do not fall over under twice the load that they can serve, and are still used', async t => {
	const servers = Array.from({length: serverCount}, (_, index) => new BrittleServer({
		id: `i-${index}`, slots: 4, workMilliseconds: 400, rejectionsPerSecond: 3,
	}));
	const deployment = await PlatformDeployment.start({entryCount: 3});
	await startBackends(t, {deployment, servers: servers.map(({behaviour}) => ({...behaviour, service: 'labels'}))});
	await putConfiguration(deployment, configuration);
	let requests = 0;
	const look = async (address: string): Promise<number> => {
		requests++;
		const {status} = await sendForResponse({
			method: 'GET', address, path: '/look/7', headers: {Host: 'desk.example', 'Attempt-Id': `a${requests}`, 'Deadline-Ms': '4000'},
		});
		return status;
	};

	for (const {address} of deployment.entries) {
		await waitUntil(async () => await look(address) === 200 || undefined, {description: 'a first response'});
	}

	const startedAt = performance.now();
	const statuses: Array<Promise<number>> = [];
	while (performance.now() < startedAt + connectivityMilliseconds + measuredMilliseconds) {
		statuses.push(...deployment.entries.map(async ({address}) => look(address)));
		await delay(sendMilliseconds);
	}

	const answers = await Promise.all(statuses);
	const falls = servers.flatMap(server => server.falls).filter(at => at > startedAt + connectivityMilliseconds);
	const served = answers.filter(status => status === 200).length;
	t.true(falls.length <= allowedFalls, `the servers fell over ${falls.length} times, ${allowedFalls} are allowed; ${served} of ${answers.length} requests were served`);
	t.log(`${served} of ${answers.length} requests were served, ${falls.length} falls`);
	t.true(servers.every(({served}) => served > 0));
	t.deepEqual(new Set(answers), new Set([200, 503]));
});
