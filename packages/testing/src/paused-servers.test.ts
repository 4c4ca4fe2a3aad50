import test, {type ExecutionContext} from 'ava';
import {draftConfiguration, draftHost} from './platform/draft-configuration.js';
import {
	type ExecutedRequest, type FakeBackendResponse, type ReceivedResponse, type ResponsePause, sendForResponse,
} from './platform/fake-backend-server.js';
import {PlatformDeployment} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {startBackends} from './platform/start-backends.js';
import {waitUntil} from './wait-until.js';

const [draftRoute] = draftConfiguration.routes;
const route = {
	...draftRoute!, sizes: ['large'], targetGapMs: 500,
};
const configuration = {...draftConfiguration, routes: [route]};
const key = draftConfiguration.tenants[0]!.apiKeys[0]!;
const withoutRoute = {...configuration, version: 2, routes: [{...route, pathPrefix: '/notes/'}]};
const withoutKey = {...configuration, version: 2, tenants: draftConfiguration.tenants.slice(1)};
const events = ['one', 'two', 'three', 'four', 'five', 'six'];
const wholeStream = events.map((event, index) => `id: ${index + 1}\ndata: ${event}\n\n`).join('');
const pause: ResponsePause = {after: 3, duration: 1200};
const pauseInsideEvent: ResponsePause = {...pause, isInsideEvent: true};
const streamCount = 8;
const answer: FakeBackendResponse = {confidence: 90, events, gap: 10};

type StartOptions = {
	/** Returns the answer to a run that resumes a stream. */
	readonly resumed: () => FakeBackendResponse | Promise<FakeBackendResponse>;
	/** How the first run of each request goes on; with a pause between two events by default. */
	readonly first?: Partial<FakeBackendResponse>;
};

type Paused = {
	readonly deployment: PlatformDeployment;
	/** The runs that began after an event that an earlier run had sent. */
	readonly resumedRuns: () => readonly ExecutedRequest[];
	/** Sends the streams, and returns their responses once all are read. */
	readonly sendStreams: () => Promise<readonly ReceivedResponse[]>;
	/** Waits until all streams have reached a server. */
	readonly streamsReachServers: () => Promise<void>;
};

/** Starts three servers that disturb the first run of each request; other runs are answered as given. */
async function start(t: ExecutionContext, {resumed, first = {pause}}: StartOptions): Promise<Paused> {
	const deployment = await PlatformDeployment.start({entryCount: 1});
	const respond = ({path, lastEventId}: ExecutedRequest): FakeBackendResponse | Promise<FakeBackendResponse> => {
		if (lastEventId !== undefined) {
			return resumed();
		}

		return path.endsWith('/first') ? answer : {...answer, ...first};
	};

	const backends = await startBackends(t, {
		deployment, servers: ['1', '2', '3'].map(number => ({id: `i-${number}`, service: 'models', answer: respond})),
	});
	await putConfiguration(deployment, configuration);
	let requests = 0;
	const send = async (path: string): Promise<ReceivedResponse> => {
		requests++;
		return sendForResponse({
			method: 'POST', address: deployment.entries[0]!.address, path, headers: {
				Host: draftHost, Authorization: `Bearer ${key}`, 'Attempt-Id': `a${requests}`, 'Deadline-Ms': '8000', Model: '*', 'Token-Usage': '100,20', 'Prompt-Prefix': '1:50,2:50',
			},
		});
	};

	await waitUntil(async () => {
		const {status} = await send('/drafts/first');
		return status === 200 || undefined;
	}, {description: 'a response to the first stream'});
	const runs = (): readonly ExecutedRequest[] => backends.flatMap(backend => backend.runs).filter(({path}) => !path.endsWith('/first'));
	return {
		deployment,
		resumedRuns: () => runs().filter(({lastEventId}) => lastEventId !== undefined),
		sendStreams: async () => Promise.all(Array.from({length: streamCount}, async (_, index) => send(`/drafts/${index}`))),
		async streamsReachServers() {
			await waitUntil(async () => runs().length >= streamCount || undefined, {description: 'all streams to reach a server'});
		},
	};
}

function assertWhole(t: ExecutionContext, responses: readonly ReceivedResponse[]): void {
	t.deepEqual(responses.map(({status, text, isComplete}) => ({status, text, isComplete})), responses.map(() => ({status: 200, text: wholeStream, isComplete: true})));
}

for (const [name, resumed] of [
	['are full', () => ({isNotExecuted: true})],
	['fail', () => ({...answer, status: 500})],
	['begin late', async () => {
		await new Promise(resolve => {
			setTimeout(resolve, 1500);
		});
		return answer;
	}],
	['send their first event late', () => ({...answer, firstEventDelay: 400})],
	['break', () => ({...answer, breakAfter: 3})],
] as const) {
	for (const firstPause of [pause, pauseInsideEvent]) {
		test(`streams of servers that pause ${firstPause === pause ? 'between two events' : 'inside an event'} end whole though the other servers ${name}`, async t => {
			const {sendStreams} = await start(t, {resumed, first: {pause: firstPause}});
			assertWhole(t, await sendStreams());
		});
	}
}

for (const [name, changed] of [['removes their route', withoutRoute], ['revokes their key', withoutKey]] as const) {
	for (const [server, first] of [['pause', {pause}], ['break', {gap: 250, breakAfter: 5}]] as const) {
		test(`streams of servers that ${server} end whole though a configuration ${name}`, async t => {
			const {deployment, sendStreams, streamsReachServers} = await start(t, {resumed: () => answer, first});
			const streams = sendStreams();
			await streamsReachServers();
			await putConfiguration(deployment, changed);
			assertWhole(t, await streams);
		});
	}
}

test('streams of servers that stay silent continue at other servers', async t => {
	const {sendStreams, resumedRuns} = await start(t, {resumed: () => answer, first: {pause: {...pause, duration: 60_000}}});
	assertWhole(t, await sendStreams());
	t.is(resumedRuns().length, streamCount);
});
