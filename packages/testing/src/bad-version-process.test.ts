import {rm} from 'node:fs/promises';
import test, {type ExecutionContext} from 'ava';
import * as z from 'zod';
import {deploymentKeys, digestOf} from './_settings-file.js';
import {type Deployment, type RunningDaemon, startDeployment} from './deployment.js';
import {callOperator, requestChat} from './http-client.js';
import {sendRequest} from './send-request.js';
import {waitUntil} from './wait-until.js';

const timeoutMilliseconds = 90_000;
const model = 'tag-small';
const goodVersion = '1.0';
const badVersion = '1.1';
const key = 'yard-key';
const badRating = 0.1;
const prices = {input: 1, output: 1};
const rule = {
	name: 'all', models: [model], qualityTarget: 0.5, deadlineMilliseconds: 30_000, priority: 5,
};
const document = {
	models: {
		[model]: {
			versions: {
				[goodVersion]: {state: 'settled', quality: 0.85, prices},
				[badVersion]: {
					state: 'settled', quality: 0.85, prices, replaces: goodVersion,
				},
			},
		},
	},
	services: {},
	workspaces: {
		yard: {
			// Only the bad version is allowed, so that an instance that has stopped it must refuse requests.
			keyDigests: [digestOf(key)], weight: 1, allowed: {[model]: [badVersion]}, services: [], policy: [rule],
		},
	},
};
const configurationSchema = z.looseObject({
	revision: z.number(), rollouts: z.record(z.string(), z.looseObject({status: z.string()})),
});
const timelineSchema = z.looseObject({
	events: z.array(z.looseObject({event: z.string(), details: z.looseObject({scope: z.string().optional()}).optional()})),
});

async function start(t: ExecutionContext): Promise<Deployment> {
	t.timeout(4 * timeoutMilliseconds);
	const deployment = await startDeployment({
		daemons: [
			{instance: 'control-a', zone: 'prairie-south-a', roles: ['control', 'entry']},
			{instance: 'entry-b', zone: 'prairie-south-b', roles: ['entry']},
			{instance: 'entry-c', zone: 'prairie-south-c', roles: ['entry']},
		],
		backends: [{server: 'engine-1', zone: 'prairie-south-a', models: [`${model}@${goodVersion}`, `${model}@${badVersion}`]}],
		configuration: document,
		startTimeoutMilliseconds: timeoutMilliseconds,
	});
	t.teardown(async () => {
		await deployment.stop();
		await rm(deployment.folder, {recursive: true, force: true});
	});
	return deployment;
}

async function sendChat({callers}: RunningDaemon) {
	return requestChat(callers, {key, messages: [{role: 'user', content: 'Tag coil 7'}], maxTokens: 4});
}

/** Sends a request to one instance and a bad rating of it to another. */
async function sendAndRate(server: RunningDaemon, rater: RunningDaemon): Promise<void> {
	const {requestId, done} = await sendChat(server);
	if (!done) {
		return;
	}

	await sendRequest(`http://127.0.0.1:${rater.ports.backends}/v1/ratings`, {
		method: 'POST',
		headers: {authorization: `Bearer ${deploymentKeys.backends}`},
		body: JSON.stringify({
			requestId, model, version: badVersion, workspace: 'yard', class: rule.name, rating: badRating, ratedAt: Date.now(),
		}),
	});
}

async function fetchStopScopes({operators}: RunningDaemon): Promise<readonly string[]> {
	const {body} = await callOperator(`${operators}/v1/timeline`, {key: deploymentKeys.operators});
	return timelineSchema.parse(body).events
		.filter(({event}) => event === 'version-stopped')
		.map(({details}) => details?.scope ?? '');
}

async function fetchConfiguration({operators}: RunningDaemon) {
	const {body} = await callOperator(`${operators}/v1/configuration`, {key: deploymentKeys.operators});
	return configurationSchema.parse(body);
}

async function waitUntilStopped(daemon: RunningDaemon): Promise<number> {
	return waitUntil(async () => {
		const {revision, rollouts} = await fetchConfiguration(daemon);
		return rollouts[`${model}@${badVersion}`]?.status === 'stopped' ? revision : undefined;
	}, {description: `${daemon.instance} to report the version as stopped`, timeoutMilliseconds});
}

async function assertRefuses(t: ExecutionContext, daemon: RunningDaemon): Promise<void> {
	const {done, problem} = await sendChat(daemon);
	t.false(done, daemon.instance);
	t.like(problem, {kind: 'no-server', outcome: 'notRun'}, daemon.instance);
}

test('a bad version is stopped by the instance that receives its ratings, then on all instances, and stays stopped after the leader restarts', async t => {
	const deployment = await start(t);
	const [leader, rater, server] = deployment.daemons as [RunningDaemon, RunningDaemon, RunningDaemon];
	const {revision} = await fetchConfiguration(leader);
	await waitUntil(async () => {
		await sendAndRate(server, rater);
		const scopes = await fetchStopScopes(rater);
		return scopes.includes('instance') || undefined;
	}, {description: 'the instance to stop the version', timeoutMilliseconds, intervalMilliseconds: 5});
	t.deepEqual(await fetchStopScopes(server), []);

	const stoppedAt = await Promise.all(deployment.daemons.map(async daemon => waitUntilStopped(daemon)));
	t.true(Math.min(...stoppedAt) > revision, `Expected revisions above ${revision}, got ${stoppedAt.join(', ')}`);
	const leaderScopes = await fetchStopScopes(leader);
	t.true(leaderScopes.includes('all'), `Expected scope all, got ${leaderScopes.join(', ')}`);
	for (const daemon of deployment.daemons) {
		await assertRefuses(t, daemon);
	}

	await leader.process.kill('SIGKILL');
	leader.process.start();
	await deployment.waitUntilHealthy(leader);
	await deployment.waitUntilReady(leader, {revision: Math.max(...stoppedAt), servers: ['engine-1']});
	for (const daemon of deployment.daemons) {
		t.true(await waitUntilStopped(daemon) >= Math.max(...stoppedAt));
		await assertRefuses(t, daemon);
	}
});
