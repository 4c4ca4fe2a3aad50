import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {sendForResponse, sendForStatus} from './platform/fake-backend-server.js';
import {lookConfiguration} from './platform/look-configuration.js';
import {PlatformDeployment, type PlatformInstance} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {startBackends} from './platform/start-backends.js';
import {waitUntil} from './wait-until.js';

const zone = 'hall-a';
/** The time after which operators send an order to another instance, in milliseconds. */
const operatorTimeout = 1000;

type Order = {
	readonly method: string;
	readonly path: string;
	readonly body?: unknown;
};

const evacuate: Order = {method: 'POST', path: `/-/evacuations/${zone}`};
const takeBack: Order = {method: 'DELETE', path: `/-/evacuations/${zone}`};
const rollOut = (target: string): Order => ({method: 'POST', path: '/-/rollouts', body: {service: 'labels', target, durationS: 0.2}});

type Started = {
	readonly deployment: PlatformDeployment;
	/** A control instance that follows, which is suspended. */
	readonly suspended: PlatformInstance;
	/** Sends an order to another control instance until it is acknowledged. */
	readonly acknowledge: (order: Order) => Promise<void>;
};

async function start(t: ExecutionContext): Promise<Started> {
	const deployment = await PlatformDeployment.start({entryCount: 1, settings: {zones: {[zone]: 'region'}}});
	await startBackends(t, {deployment, servers: [{id: 'i-labels', service: 'labels', answer: () => ({})}]});
	await putConfiguration(deployment, lookConfiguration);
	const acknowledge = async (order: Order): Promise<void> => {
		await waitUntil(async () => {
			const status = await sendForStatus({...order, address: deployment.controls[0]!.address, timeout: operatorTimeout});
			return status === 200 || undefined;
		}, {description: `an acknowledgement of ${order.method} ${order.path}`});
	};

	return {deployment, acknowledge, suspended: deployment.controls[2]!};
}

/** Sends an order to a suspended instance, gives it up, and has other orders acknowledged elsewhere before the instance goes on. */
async function readLate({suspended, acknowledge}: Started, late: Order, meanwhile: () => Promise<void>): Promise<void> {
	suspended.process.signal('SIGSTOP');
	const status = await sendForStatus({...late, address: suspended.address, timeout: operatorTimeout});
	await acknowledge(late);
	await meanwhile();
	suspended.process.signal('SIGCONT');
	if (status !== 0) {
		throw new Error(`The suspended instance answered ${status}`);
	}

	// Longer than an order takes.
	await delay(2000);
}

/** Checks whether the servers of the zone get requests. */
async function isServed({entries}: PlatformDeployment): Promise<boolean> {
	const answer = await sendForResponse({
		method: 'GET', address: entries[0]!.address, path: '/look/7', headers: {Host: 'desk.example', 'Attempt-Id': `a${performance.now()}`, 'Deadline-Ms': '2000'},
	});
	return answer.status === 200;
}

test('an order to take a zone back that is read late does not end a later evacuation', async t => {
	const started = await start(t);
	await started.acknowledge(evacuate);
	await readLate(started, takeBack, async () => {
		await started.acknowledge(evacuate);
		await waitUntil(async () => await isServed(started.deployment) ? undefined : true, {description: 'the evacuation'});
	});
	t.false(await isServed(started.deployment));
});

test('an order to evacuate a zone that is read late does not undo that it was taken back', async t => {
	const started = await start(t);
	await readLate(started, evacuate, async () => {
		await started.acknowledge(takeBack);
		await waitUntil(async () => await isServed(started.deployment) || undefined, {description: 'the end of the evacuation'});
	});
	t.true(await isServed(started.deployment));
});

test('an order of a rollout that is read late does not start it again after a later one', async t => {
	const started = await start(t);
	const {deployment, acknowledge} = started;
	const readRollout = async (): Promise<{readonly state: string; readonly target: string}> => waitUntil(async () => {
		const {status, text} = await sendForResponse({
			method: 'GET', address: deployment.controls[0]!.address, path: '/-/rollouts/labels', headers: {},
		});
		const rollout = status === 200 ? JSON.parse(text) as {readonly state: string; readonly target: string} : undefined;
		return rollout === undefined || rollout.state === 'running' ? undefined : rollout;
	}, {description: 'the end of a rollout'});
	await readLate(started, rollOut('v2'), async () => {
		await readRollout();
		await acknowledge(rollOut('v3'));
		await readRollout();
	});
	const {target} = await readRollout();
	t.is(target, 'v3');
});
