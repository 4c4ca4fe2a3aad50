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
/** The runs that a request may cost on average. */
const runsPerRequest = 1.1;
/** How much later than its server sends it the first event of a stream may reach its caller, in milliseconds. */
const maximumEventDelay = 200;

type Kind = 'plain' | 'streamed';

/** Starts two entry instances before three servers of each service. */
async function start(t: ExecutionContext) {
	const deployment = await PlatformDeployment.start({entryCount: 2});
	const begun: string[] = [];
	const answeredAt = new Map<string, number>();
	/** Answers after the time that the path names. */
	const respond = async ({path}: ExecutedRequest): Promise<FakeBackendResponse> => {
		begun.push(path);
		await delay(Number(/\d+$/v.exec(path)?.[0] ?? fastMilliseconds));
		answeredAt.set(path, Math.min(performance.now(), answeredAt.get(path) ?? Number.POSITIVE_INFINITY));
		return {confidence: 90, events: ['one', 'two']};
	};

	await startBackends(t, {
		deployment,
		servers: ['labels', 'models'].flatMap(service => ['1', '2', '3'].map(number => ({
			id: `i-${service}-${number}`, service, slots: 64, answer: respond,
		}))),
	});
	await putConfiguration(deployment, configuration);
	let requests = 0;
	const send = async (kind: Kind, name: string) => {
		requests++;
		const path = `/${kind === 'plain' ? 'look' : 'drafts'}/${name}`;
		const startedAt = performance.now();
		const response = await sendForResponse({
			method: 'POST',
			address: deployment.entries[requests % deployment.entries.length]!.address,
			path,
			headers: {
				Host: draftHost, 'Attempt-Id': `a${requests}`, 'Deadline-Ms': '8000', Authorization: `Bearer ${key}`,
				...(kind === 'streamed' && {Model: '*', 'Token-Usage': '100,20', 'Prompt-Prefix': '1:50,2:50'}),
			},
		});
		return {...response, eventDelay: startedAt + (response.firstByteAfter ?? 0) - (answeredAt.get(path) ?? Number.NEGATIVE_INFINITY)};
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
		/** Counts the runs that have begun, also those that the end of the test comes before. */
		countRuns: (part: string) => begun.filter(path => path.includes(part)).length,
	};
}

const rows = (['plain', 'streamed'] as const).flatMap(kind => [600, 1500, 2500, 4500].map(milliseconds => ({kind, milliseconds})));

for (const {kind, milliseconds} of rows) {
	for (const isAlone of [true, false]) {
		// One after the other: processes that wait for a processor delay answers like slow servers.
		test.serial(`${kind} requests that take ${milliseconds} ms at every server, ${isAlone ? 'alone' : 'beside fast ones'}, are not sent to several servers or given up`, async t => {
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
				await waitUntil(async () => countRuns('fast') >= 3 * slowCount || undefined, {description: 'runs of fast requests'});
			}

			const responses = await Promise.all(Array.from({length: slowCount}, async (_, index) => {
				await delay(index * fastGapMilliseconds);
				return send(kind, `slow-${index}-${milliseconds}`);
			}));
			ended.abort();
			await fast;
			const eventDelay = Math.max(...responses.map(response => response.eventDelay));
			const answeredCount = responses.filter(({status}) => status === 200).length;
			t.log(`${countRuns('slow')} runs of ${slowCount} slow requests, ${countRuns('fast')} of ${fastCount} fast ones`);
			t.log(`${answeredCount} answered, up to ${Math.round(eventDelay)} ms after their servers`);
			t.deepEqual(responses.map(({status, isComplete}) => ({status, isComplete})), responses.map(() => ({status: 200, isComplete: true})));
			t.true(countRuns('slow') <= Math.ceil(runsPerRequest * slowCount));
			t.true(countRuns('slow') + countRuns('fast') <= Math.ceil(runsPerRequest * (slowCount + fastCount)));
			t.true(kind === 'plain' || eventDelay <= maximumEventDelay);
		});
	}
}
