import test from 'ava';
import {deploymentKeys} from './_settings-file.js';
import {startDeployment} from './deployment.js';
import {callOperator} from './http-client.js';
import {sendRequest} from './send-request.js';
import {waitUntil} from './wait-until.js';

const prices = {input: 1, output: 1};
const configuration = {
	models: {
		small: {
			versions: {
				v1: {state: 'settled', quality: 0.9, prices},
				v2: {
					state: 'rolling-out', quality: 0.9, prices, replaces: 'v1', stages: [{share: 0.1, minimumRatings: 1000}, {share: 1, minimumRatings: 1000}],
				},
			},
		},
	},
};

test('an operator advances a rollout by one stage, then stops the version', async t => {
	const deployment = await startDeployment({
		daemons: [{instance: 'alone', zone: 'zone-a', roles: ['control', 'entry']}], backends: [], configuration, startTimeoutMilliseconds: 60_000,
	});
	t.teardown(async () => {
		await deployment.stop();
	});
	const operators = deployment.daemons[0]?.operators ?? '';
	const change = async (body: unknown) => {
		const {status} = await sendRequest(`${operators}/v1/rollouts`, {method: 'POST', headers: {authorization: `Bearer ${deploymentKeys.operators}`}, body: JSON.stringify(body)});
		return status;
	};

	const advance = {
		action: 'advance', model: 'small', version: 'v2', fromStage: 0,
	};
	t.is(await change(advance), 200);
	t.is(await change({...advance, fromStage: 5}), 412);
	t.is(await change({
		action: 'stop', model: 'small', version: 'v2', reason: 'odd answers',
	}), 200);
	t.is(await change({action: 'colour'}), 400);
	const progress = await waitUntil(async () => {
		const {body} = await callOperator(`${operators}/v1/configuration`, {key: deploymentKeys.operators});
		const {rollouts} = body as {readonly rollouts: Readonly<Record<string, {readonly status: string; readonly stage: number}>>};
		return rollouts['small@v2']?.status === 'stopped' ? rollouts['small@v2'] : undefined;
	}, {description: 'the stopped rollout in force', timeoutMilliseconds: 60_000});
	t.is(progress.stage, 1);
});
