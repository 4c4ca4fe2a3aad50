import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {draftConfiguration, draftHost} from './platform/draft-configuration.js';
import {type ExecutedRequest, type FakeBackendResponse, sendForResponse} from './platform/fake-backend-server.js';
import {lookConfiguration, lookRoute} from './platform/look-configuration.js';
import {PlatformDeployment} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {startBackends} from './platform/start-backends.js';
import {waitUntil} from './wait-until.js';

const limits = {timeoutMs: 6000, targetLatencyMs: 3000, maxAttempts: 3};
const [draftRoute] = draftConfiguration.routes;
const configuration = {
	...draftConfiguration,
	routes: [{...lookRoute, ...limits}, {...draftRoute!, ...limits, sizes: ['large']}],
	services: [...draftConfiguration.services, ...lookConfiguration.services],
};
const key = draftConfiguration.tenants[0]!.apiKeys[0]!;
const slowCount = 16;
const fastMilliseconds = 20;
const fastGapMilliseconds = 40;

type Kind = 'plain' | 'streamed';

/** Returns the answer of a server, after the time that the path names. */
async function respond({path}: ExecutedRequest): Promise<FakeBackendResponse> {
	await delay(Number(/\d+$/v.exec(path)?.[0] ?? fastMilliseconds));
	return {confidence: 90, events: ['one', 'two']};
}

/** Starts two entry instances before three servers of each service. */
async function start(t: ExecutionContext) {
	const deployment = await PlatformDeployment.start({entryCount: 2});
	const backends = await startBackends(t, {
		deployment,
		servers: ['labels', 'models'].flatMap(service => ['1', '2', '3'].map(number => ({
			id: `i-${service}-${number}`, service, slots: 64, answer: respond,
		}))),
	});
	await putConfiguration(deployment, configuration);
	let requests = 0;
	const send = async (kind: Kind, name: string) => {
		requests++;
		return sendForResponse({
			method: 'POST',
			address: deployment.entries[requests % deployment.entries.length]!.address,
			path: `/${kind === 'plain' ? 'look' : 'drafts'}/${name}`,
			headers: {
				Host: draftHost, 'Attempt-Id': `a${requests}`, 'Deadline-Ms': '8000', Authorization: `Bearer ${key}`,
				...(kind === 'streamed' && {Model: '*', 'Token-Usage': '100,20', 'Prompt-Prefix': '1:50,2:50'}),
			},
		});
	};

	for (const kind of ['plain', 'streamed'] as const) {
		for (const _ of deployment.entries) {
			await waitUntil(async () => {
				const {status} = await send(kind, 'first');
				return status === 200 || undefined;
			}, {description: 'a response to the first requests'});
		}
	}

	return {
		send,
		countRuns: (part: string) => backends.flatMap(({runs}) => runs).filter(({path}) => path.includes(part)).length,
	};
}

for (const [kind, milliseconds] of [['plain', 2500], ['plain', 4500], ['streamed', 600], ['streamed', 1500], ['streamed', 2500], ['streamed', 4500]] as const) {
	for (const isAlone of [true, false]) {
		test(`${kind} requests that take ${milliseconds} ms at every server, ${isAlone ? 'alone' : 'beside fast ones'}, are not sent to several servers or given up`, async t => {
			const {send, countRuns} = await start(t);
			const ended = new AbortController();
			let fastCount = 0;
			const sendFast = async (): Promise<void> => {
				while (!ended.signal.aborted) {
					fastCount++;
					void send(kind, 'fast');
					await delay(fastGapMilliseconds);
				}
			};

			const fast = isAlone ? undefined : sendFast();
			if (!isAlone) {
				await waitUntil(async () => countRuns('fast') >= 3 * slowCount || undefined, {description: 'fast requests to be answered'});
			}

			const responses = await Promise.all(Array.from({length: slowCount}, async (_, index) => {
				await delay(index * fastGapMilliseconds);
				return send(kind, `slow-${index}-${milliseconds}`);
			}));
			ended.abort();
			await fast;
			t.log(`${countRuns('slow')} runs of ${slowCount} slow requests, ${countRuns('fast')} of ${fastCount} fast ones; ${responses.filter(({status}) => status === 200).length} answered`);
			t.deepEqual(responses.map(({status, isComplete}) => ({status, isComplete})), responses.map(() => ({status: 200, isComplete: true})));
			t.true(countRuns('slow') + countRuns('fast') <= Math.ceil(1.1 * (slowCount + fastCount)));
		});
	}
}
