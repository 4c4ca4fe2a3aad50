import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {type BackendProcess} from './platform/backend-process.js';
import {sendForResponse} from './platform/fake-backend-server.js';
import {lookConfiguration, lookRoute} from './platform/look-configuration.js';
import {PlatformDeployment, type PlatformInstance} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {sendSteadily} from './platform/send-steadily.js';
import {startBackendProcesses} from './platform/start-backend-processes.js';
import {waitUntil} from './wait-until.js';

const key = 'k1';
const configuration = {
	...lookConfiguration,
	routes: [
		{...lookRoute, public: false},
		{
			...lookRoute, name: 'print', pathPrefix: '/print/', kind: 'unsafe', public: false,
		},
		{
			...lookRoute, name: 'tag', pathPrefix: '/tag/', kind: 'streaming', timeoutMs: 8000, targetGapMs: 1000, public: false,
		},
	],
};
const requestsEach = [{method: 'GET', path: '/look/'}, {method: 'POST', path: '/print/'}, {method: 'POST', path: '/tag/'}];
const perSecond = 30;
/** How much longer requests are sent once the instances go on, in milliseconds; longer than a poll. */
const afterMilliseconds = 2000;
/** The index of the requests before the others. */
const firstIndex = 1_000_000;
/** How long instances are silent, in milliseconds. */
const silences = [1000, 1900];

type Started = {
	readonly deployment: PlatformDeployment;
	readonly backends: readonly BackendProcess[];
	/** Sends a request, and returns its status; 0 if the answer was not complete. */
	readonly send: (index: number) => Promise<number>;
};

async function start(t: ExecutionContext): Promise<Started> {
	const deployment = await PlatformDeployment.start();
	t.teardown(() => {
		for (const {process} of deployment.controls) {
			process.signal('SIGCONT');
		}
	});
	const backends = await startBackendProcesses(t, {
		deployment, servers: ['1', '2', '3'].map(number => ({id: `i-${number}`, service: 'labels', answer: {events: ['one', 'two', 'three'], gap: 100}})),
	});
	await putConfiguration(deployment, configuration);
	const {entries} = deployment;
	const send = async (index: number): Promise<number> => {
		const {method, path} = requestsEach[index % requestsEach.length]!;
		const {status, isComplete} = await sendForResponse({
			method, address: entries[index % entries.length]!.address, path: `${path}${index}`, headers: {
				Host: lookRoute.host, Authorization: `Bearer ${key}`, 'Attempt-Id': `a${index}`, 'Deadline-Ms': '2000',
			},
		});
		return isComplete ? status : 0;
	};

	for (const position of entries.keys()) {
		await waitUntil(async () => await send(firstIndex + position) === 200 || undefined, {description: 'a first response'});
	}

	return {deployment, backends, send};
}

async function silence(instances: readonly PlatformInstance[], duration: number): Promise<void> {
	for (const {process} of instances) {
		process.signal('SIGSTOP');
	}

	await delay(duration);
	for (const {process} of instances) {
		process.signal('SIGCONT');
	}
}

for (const [name, select] of [
	['one control instance after the other', (controls: readonly PlatformInstance[]) => controls.map(control => [control])],
	['all control instances', (controls: readonly PlatformInstance[]) => [controls]],
] as const) {
	for (const duration of silences) {
		test.serial(`${name} silent for ${duration} ms costs no request, no refusal and no second run`, async t => {
			const {deployment, backends, send} = await start(t);
			const groups = select(deployment.controls);
			const silent = (async () => {
				for (const group of groups) {
					await silence(group, duration);
					await delay(afterMilliseconds);
				}
			})();
			const statuses = await sendSteadily({perSecond, duration: groups.length * (duration + afterMilliseconds), send});
			await silent;
			t.deepEqual(new Set(statuses), new Set([200]), `${statuses.filter(status => status !== 200).length} of ${statuses.length} requests were not answered`);
			const runs = await Promise.all(backends.map(async backend => backend.readRuns()));
			const prints = runs.flat().filter(({path}) => path.startsWith('/print/')).map(({id}) => id);
			t.is(new Set(prints).size, prints.length);
		});
	}
}
