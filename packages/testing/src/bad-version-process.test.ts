import {rm} from 'node:fs/promises';
import test, {type ExecutionContext} from 'ava';
import * as z from 'zod';
import {deploymentKeys, digestOf} from './_settings-file.js';
import {type Deployment, type RunningDaemon, startDeployment} from './deployment.js';
import {callOperator, chatWhole} from './http-client.js';
import {sendRequest} from './send-request.js';
import {waitUntil} from './wait-until.js';

const generousMilliseconds = 90_000;
const model = 'tag-small';
const sound = '1.0';
const bad = '1.1';
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
				[sound]: {state: 'settled', quality: 0.85, prices},
				[bad]: {
					state: 'settled', quality: 0.85, prices, replaces: sound,
				},
			},
		},
	},
	services: {},
	workspaces: {
		yard: {
			// Only the version that turns bad, so that an instance that has stopped it for good has to refuse.
			keyDigests: [digestOf(key)], weight: 1, allowed: {[model]: [bad]}, services: [], policy: [rule],
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
	t.timeout(4 * generousMilliseconds);
	const deployment = await startDeployment({
		daemons: [
			{instance: 'control-a', zone: 'prairie-south-a', roles: ['control', 'entry']},
			{instance: 'entry-b', zone: 'prairie-south-b', roles: ['entry']},
			{instance: 'entry-c', zone: 'prairie-south-c', roles: ['entry']},
		],
		backends: [{server: 'engine-1', zone: 'prairie-south-a', models: [`${model}@${sound}`, `${model}@${bad}`]}],
		configuration: document,
		startMilliseconds: generousMilliseconds,
	});
	t.teardown(async () => {
		await deployment.stop();
		await rm(deployment.folder, {recursive: true, force: true});
	});
	return deployment;
}

async function ask({callers}: RunningDaemon) {
	return chatWhole(callers, {key, messages: [{role: 'user', content: 'Tag coil 7'}], maxTokens: 4});
}

/** Sends a request to one instance and its bad rating to another one. */
async function askAndRate(asked: RunningDaemon, rated: RunningDaemon): Promise<void> {
	const {requestId, done} = await ask(asked);
	if (!done) {
		return;
	}

	await sendRequest(`http://127.0.0.1:${rated.ports.backends}/v1/ratings`, {
		method: 'POST',
		headers: {authorization: `Bearer ${deploymentKeys.backends}`},
		body: JSON.stringify({
			requestId, model, version: bad, workspace: 'yard', class: rule.name, rating: badRating, ratedAt: Date.now(),
		}),
	});
}

async function stopScopes({operators}: RunningDaemon): Promise<readonly string[]> {
	const {body} = await callOperator(`${operators}/v1/timeline`, {key: deploymentKeys.operators});
	return timelineSchema.parse(body).events
		.filter(({event}) => event === 'version-stopped')
		.map(({details}) => details?.scope ?? '');
}

async function configurationOf({operators}: RunningDaemon) {
	const {body} = await callOperator(`${operators}/v1/configuration`, {key: deploymentKeys.operators});
	return configurationSchema.parse(body);
}

async function waitUntilStopped(daemon: RunningDaemon): Promise<number> {
	return waitUntil(async () => {
		const {revision, rollouts} = await configurationOf(daemon);
		return rollouts[`${model}@${bad}`]?.status === 'stopped' ? revision : undefined;
	}, {what: `${daemon.instance} to know that the version is stopped`, timeoutMilliseconds: generousMilliseconds});
}

async function assertRefuses(t: ExecutionContext, daemon: RunningDaemon): Promise<void> {
	const {done, problem} = await ask(daemon);
	t.false(done, daemon.instance);
	t.like(problem, {kind: 'no-server', outcome: 'notRun'}, daemon.instance);
}

test('a version that turns bad is stopped by the instance that gets its ratings, then for all, and stays so after the leader restarts', async t => {
	const deployment = await start(t);
	const [leader, rated, asked] = deployment.daemons as [RunningDaemon, RunningDaemon, RunningDaemon];
	const {revision} = await configurationOf(leader);
	await waitUntil(async () => {
		await askAndRate(asked, rated);
		const scopes = await stopScopes(rated);
		return scopes.includes('instance') || undefined;
	}, {what: 'the stop on the instance', timeoutMilliseconds: generousMilliseconds, everyMilliseconds: 5});
	t.deepEqual(await stopScopes(asked), []);

	const stoppedAt = await Promise.all(deployment.daemons.map(async daemon => waitUntilStopped(daemon)));
	t.true(Math.min(...stoppedAt) > revision, `Got revisions ${stoppedAt.join(', ')}, wanted above ${revision}`);
	const leaderScopes = await stopScopes(leader);
	t.true(leaderScopes.includes('all'), `Got ${leaderScopes.join(', ')}`);
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
