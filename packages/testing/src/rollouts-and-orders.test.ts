import test from 'ava';
import * as z from 'zod';
import {deploymentKeys} from './_settings-file.js';
import {type Deployment, type RunningDaemon, startDeployment} from './deployment.js';
import {callOperator} from './http-client.js';
import {sendRequest} from './send-request.js';
import {waitUntil} from './wait-until.js';

const zones = ['prairie-south-a', 'prairie-south-b', 'prairie-south-c'];
const daemons = zones.map((zone, index) => ({instance: `control-${index}`, zone, roles: ['control', 'entry'] as const}));
const backends = [
	{
		server: 'checks', zone: 'prairie-south-a', models: ['tag-small@1.0'], checksFencing: true,
	},
	{
		server: 'ignores', zone: 'prairie-south-b', models: ['tag-small@1.0'], checksFencing: false,
	},
];
const settled = {state: 'settled', quality: 0.8, prices: {input: 0.1, output: 0.4}};
const stage = {minimumRatings: 0, minimumSeconds: 4};
const configuration = {
	models: {
		'tag-small': {
			versions: {
				v1: settled,
				v2: {
					...settled, state: 'rolling-out', replaces: 'v1', stages: [{...stage, share: 0.1}, {...stage, share: 0.5}, {...stage, share: 1}],
				},
			},
		},
	},
	services: {},
	workspaces: {},
};
const rolloutKey = 'tag-small@v2';
const configurationSchema = z.object({
	revision: z.number(),
	document: z.object({models: z.record(z.string(), z.object({versions: z.record(z.string(), z.looseObject({state: z.string()}))}))}),
	rollouts: z.record(z.string(), z.looseObject({stage: z.number(), status: z.string()})),
});
const orderSchema = z.looseObject({orderId: z.string(), outcome: z.string()});
const listSchema = z.object({open: z.array(orderSchema), completed: z.array(orderSchema)});
const executedSchema = z.array(z.looseObject({orderId: z.string(), term: z.number(), sequence: z.number()}));
const waitOptions = {timeoutMilliseconds: 60_000};

async function getConfiguration(daemon: RunningDaemon) {
	const {body} = await callOperator(`${daemon.operators}/v1/configuration`, {key: deploymentKeys.operators});
	return configurationSchema.parse(body);
}

async function findLeader(deployment: Deployment): Promise<RunningDaemon> {
	return waitUntil(async () => {
		for (const daemon of deployment.daemons.filter(({process}) => process.isRunning)) {
			const {leader} = await deployment.status(daemon);
			const found = deployment.daemons.find(({instance, process}) => instance === leader && process.isRunning);
			if (found !== undefined) {
				return found;
			}
		}

		return undefined;
	}, {description: 'a leader', ...waitOptions});
}

async function issueOrder(daemon: RunningDaemon, order: {readonly orderId: string; readonly server: string; readonly order: unknown}): Promise<void> {
	await waitUntil(async () => {
		const {status, body} = await sendRequest(`${daemon.operators}/v1/orders`, {
			method: 'POST', headers: {authorization: `Bearer ${deploymentKeys.operators}`}, body: JSON.stringify(order),
		});
		if (status !== 202) {
			throw new Error(`Expected status 202, got ${status} ${body}`);
		}

		return true;
	}, {description: `order ${order.orderId}`, ...waitOptions});
}

async function fetchExecutedOrders(deployment: Deployment, server: string) {
	const backend = deployment.backends.find(found => found.server === server);
	const {body} = await sendRequest(`${backend?.address}/test/orders`);
	return executedSchema.parse(JSON.parse(body));
}

test.serial('a rollout continues from its current stage when the leader is killed', async t => {
	const deployment = await startDeployment({daemons, backends, configuration});
	t.teardown(async () => deployment.stop());
	const leader = await findLeader(deployment);
	const survivor = deployment.daemons.find(daemon => daemon !== leader) ?? leader;
	await waitUntil(async () => {
		const {rollouts} = await getConfiguration(survivor);
		return rollouts[rolloutKey]?.stage === 1 || undefined;
	}, {description: 'the second stage', ...waitOptions});
	await leader.process.kill('SIGKILL');

	const stages: number[] = [];
	const last = await waitUntil(async () => {
		const found = await getConfiguration(survivor);
		const progress = found.rollouts[rolloutKey];
		stages.push(progress?.stage ?? -1);
		return progress?.status === 'completed' ? found : undefined;
	}, {description: 'the end of the rollout', ...waitOptions});
	t.deepEqual(stages, stages.toSorted((left, right) => left - right), 'the stage never decreases');
	t.is(stages[0], 1);
	t.is(last.document.models['tag-small']?.versions.v2?.state, 'settled');
	// One change by the operator and three stage changes: none happened twice.
	t.is(last.revision, 4);
});

for (const failure of ['SIGKILL', 'SIGSTOP'] as const) {
	test.serial(`orders are executed in sequence, and only once with fencing, when the leader gets ${failure}`, async t => {
		const deployment = await startDeployment({daemons, backends, configuration});
		t.teardown(async () => {
			for (const {process} of deployment.daemons) {
				process.signal('SIGCONT');
			}

			await deployment.stop();
		});
		const leader = await findLeader(deployment);
		const survivor = deployment.daemons.find(daemon => daemon !== leader) ?? leader;
		const orders = ['checks', 'ignores'].flatMap(server => [1, 2, 3, 4].map(number => ({
			orderId: `${server}-${number}`, server, order: {type: 'set-role', role: `role-${number}`},
		})));
		for (const [index, order] of orders.entries()) {
			if (index === orders.length / 4) {
				leader.process.signal(failure);
			}

			await issueOrder(survivor, order);
			// A resend with the same id is the same order.
			await issueOrder(survivor, order);
		}

		if (failure === 'SIGSTOP') {
			leader.process.signal('SIGCONT');
		}

		const {completed} = await waitUntil(async () => {
			const {body} = await callOperator(`${survivor.operators}/v1/orders`, {key: deploymentKeys.operators});
			const list = listSchema.parse(body);
			return list.open.length === 0 && list.completed.length === orders.length ? list : undefined;
		}, {description: 'all orders to be completed', ...waitOptions});
		t.deepEqual(completed.map(({outcome}) => outcome), orders.map(() => 'done'));
		for (const server of ['checks', 'ignores']) {
			const executed = await fetchExecutedOrders(deployment, server);
			const sequences = executed.map(({sequence}) => sequence);
			t.deepEqual(sequences, sequences.toSorted((left, right) => left - right), `${server} executed an older order after a newer one`);
			t.deepEqual([...new Set(executed.map(({orderId}) => orderId))], [1, 2, 3, 4].map(number => `${server}-${number}`));
		}

		const executedWithFencing = await fetchExecutedOrders(deployment, 'checks');
		t.is(executedWithFencing.length, 4);
	});
}
