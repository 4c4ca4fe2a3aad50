import {readFile} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {sendForResponse} from './platform/fake-backend-server.js';
import {type PlatformInstance, PlatformDeployment} from './platform/platform-deployment.js';
import {lookConfiguration, lookRoute} from './platform/look-configuration.js';
import {putConfiguration} from './platform/put-configuration.js';
import {startBackends} from './platform/start-backends.js';
import {waitUntil} from './wait-until.js';

const configuration = {
	...lookConfiguration,
	routes: [{
		...lookRoute, timeoutMs: 5000, maxAttempts: 3,
	}],
};

const pauseMilliseconds = 40;
/** The time after which a digest without replies is lost, and some more. */
const lossMilliseconds = 2000;

/** Returns the lines about the digest in the log of an instance, in order. */
async function digestLines({process: {logFile}}: PlatformInstance): Promise<readonly string[]> {
	const log = await readFile(logFile, 'utf8');
	return log.split('\n').flatMap(line => /"pool-digest-(lost|regained)"/v.exec(line)?.[1] ?? []);
}

test('eight entry instances get the load of all from control instances, also after one of these was killed', async t => {
	const deployment = await PlatformDeployment.start({entryCount: 8});
	await startBackends(t, {deployment, servers: ['i-1', 'i-2'].map(id => ({id, service: 'labels', answer: () => ({events: ['one', 'two'], gap: 100})}))});
	await putConfiguration(deployment, configuration);
	let requests = 0;
	const look = async ({address}: PlatformInstance): Promise<number> => {
		requests++;
		const {status} = await sendForResponse({
			method: 'GET', address, path: '/look/7', headers: {Host: 'desk.example', 'Attempt-Id': `a${requests}`, 'Deadline-Ms': '5000'},
		});
		return status;
	};

	const sendUntilAllHaveDigest = async (): Promise<void> => {
		await waitUntil(async () => {
			await Promise.all(deployment.entries.map(async entry => look(entry)));
			await delay(pauseMilliseconds);
			const lines = await Promise.all(deployment.entries.map(async entry => digestLines(entry)));
			return lines.every(kinds => kinds.at(-1) === 'regained') || undefined;
		}, {description: 'a digest at all entry instances'});
	};

	for (const entry of deployment.entries) {
		await waitUntil(async () => await look(entry) === 200 || undefined, {description: 'a first response'});
	}

	await sendUntilAllHaveDigest();
	await deployment.controls[0]!.process.kill('SIGKILL');
	await delay(lossMilliseconds);
	await sendUntilAllHaveDigest();
	const statuses = await Promise.all(deployment.entries.map(async entry => look(entry)));
	t.deepEqual(new Set(statuses), new Set([200]));
});
