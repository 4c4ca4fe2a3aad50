import test from 'ava';
import {
	callerKeys, entryConfiguration, type EntryDeployment, sorted, startEntryDeployment, versions,
} from './_entry-deployment.js';
import {deploymentKeys} from './_settings-file.js';
import {generateFakeTokens} from './fake-answer.js';
import {
	callOperator, callService, type CallResult, requestChatStream, requestChat,
} from './http-client.js';
import {waitUntil} from './wait-until.js';

const key = callerKeys.yard;
const tokens = 30;

function messagesOf(text: string) {
	return [{role: 'user', content: text}];
}

test.serial('when an entry instance is killed during a print, the resend is not run again, and each request has one bill', async t => {
	const entry = await startEntryDeployment(t, {engines: 1});
	await entry.setBehaviour('labels-1', {stall: true});
	await entry.setBehaviour('engine-1', {answerTokens: 400, tokenMilliseconds: 50});
	const print = async (index: number) => callService(entry.callers(index), {
		key, service: 'labels', path: '/print', body: '{"label":7}', headers: {'Idempotency-Key': 'print-7'},
	});
	const first = print(1);
	const streamed = requestChatStream(entry.callers(1), {key, messages: messagesOf('Trace coil 7')});
	await waitUntil(async () => {
		const prints = await entry.runs('labels-1');
		const chats = await entry.runs('engine-1');
		return (prints.length === 1 && chats.length === 1) || undefined;
	}, {description: 'both requests to reach their servers'});
	const [run] = await entry.runs('labels-1');
	const [chat] = await entry.runs('engine-1');
	await entry.daemon(1).process.kill('SIGKILL');
	const lost = await first;
	t.is(lost.status, 0);
	const cut = await streamed;
	t.false(cut.done);
	const resent = await waitUntil(async () => {
		const answer = await print(2);
		return answer.status === 409 ? undefined : answer;
	}, {description: 'the claim of the killed instance to be closed', timeoutMilliseconds: 60_000});
	t.deepEqual([resent.status, resent.problem?.kind, resent.problem?.outcome], [502, 'outcome-unknown', 'unknown']);
	t.is(await entry.countRuns('labels-1'), 1);
	// The servers know both request ids; the caller of the stream may not have received the response headers.
	const requests = [String(run?.requestId), String(chat?.requestId)];
	const bills = await entry.bills(requests);
	t.deepEqual(sorted(bills.map(({request, outcome}) => `${String(request)} ${String(outcome)}`)), sorted(requests.map(request => `${request} unknown`)));
});

// If the remaining requests were served one after another, they would not complete within the shutdown timeout.
test.serial('a graceful shutdown under load loses nothing and refuses the remaining requests as not run', async t => {
	const entry = await startEntryDeployment(t);
	await Promise.all(['engine-1', 'engine-2'].map(async server => entry.setBehaviour(server, {answerTokens: tokens, tokenMilliseconds: 20})));
	const load = new Load(entry, 1);
	load.begin(6);
	await waitUntil(async () => load.results.length > 12 || undefined, {description: 'load'});
	const stopped = entry.daemon(1).process.stop();
	const end = await stopped;
	await load.end();
	t.is(end?.code, 0);
	for (const [text, result] of load.results) {
		const isWhole = result.done && result.text === completeText(text);
		const isRefused = result.status === 503 && result.problem?.kind === 'shutting-down' && result.problem.outcome === 'notRun' && result.headers['retry-after'] !== undefined;
		const isUnreachable = result.status === 0 && result.text === '';
		const lines = isWhole || isRefused || isUnreachable ? [] : await entry.readLogLines(result.problem?.requestId ?? text);
		t.true(isWhole || isRefused || isUnreachable, `${text}: ${JSON.stringify(result)}\n${lines.join('\n')}`);
	}

	const whole = load.results.filter(([, {done}]) => done).map(([, {requestId}]) => requestId);
	const bills = await entry.bills(whole);
	t.deepEqual(sorted(bills.map(({request}) => request)), sorted(whole));
});

test.serial('a version withdrawn under load gets no new requests, and its sessions end', async t => {
	const entry = await startEntryDeployment(t);
	await Promise.all(['engine-1', 'engine-2'].map(async server => entry.setBehaviour(server, {answerTokens: tokens, tokenMilliseconds: 5})));
	const begun = await requestChat(entry.callers(0), {key, messages: messagesOf('Begin'), headers: {'Valehitch-Session': 'new'}});
	const token = String(begun.headers['valehitch-session']);
	t.is(begun.headers['valehitch-version'], '1.0');
	const load = new Load(entry, 2);
	load.begin(6);
	await waitUntil(async () => load.results.length > 6 || undefined, {description: 'load'});
	const revision = await entry.deployment.apply(entryConfiguration({first: 'withdrawn', next: 'settled'}), {replaces: 1});
	await Promise.all(entry.deployment.daemons.map(async daemon => entry.deployment.waitUntilReady(daemon, {revision, servers: []})));
	const runsOfFirst = async () => {
		const runs = await Promise.all(['engine-1', 'engine-2'].map(async server => entry.runs(server)));
		return runs.flat().filter(({version}) => version === '1.0').length;
	};

	const before = await runsOfFirst();
	const sessions = await Promise.all([0, 1, 2].map(async index => requestChat(entry.callers(index), {key, messages: messagesOf('Go on'), headers: {'Valehitch-Session': token}})));
	t.deepEqual(sessions.map(({status, problem}) => [status, problem?.kind, problem?.outcome]), sessions.map(() => [410, 'session-ended', 'notRun']));
	const seen = load.results.length;
	await waitUntil(async () => load.results.length > seen + 12 || undefined, {description: 'load on the next version'});
	await load.end();
	t.is(await runsOfFirst(), before);
	t.true(load.results.every(([, {done}]) => done));
	t.deepEqual(new Set(load.results.slice(seen + 6).map(([, {headers}]) => headers['valehitch-version'])), new Set(['1.1']));
});

test.serial('with a third of the capacity left, requests that cannot be served in time are refused with a retry time', async t => {
	const entry = await startEntryDeployment(t, {engines: 3, capacity: 2});
	await Promise.all(['engine-1', 'engine-2', 'engine-3'].map(async server => entry.setBehaviour(server, {answerTokens: tokens, firstTokenMilliseconds: 200})));
	const send = async (index: number, headers: Readonly<Record<string, string>>) => requestChat(entry.callers(index % 3), {
		key, messages: messagesOf(`Coil ${index}`), headers,
	});
	const ask = async (index: number) => send(index, {'Valehitch-Deadline-Milliseconds': '1500'});
	for (let round = 0; round < 4; round++) {
		// No deadline here: on a machine so busy that a response takes half of it, a refusal would be correct.
		const warm = await Promise.all(Array.from({length: 6}, async (_, index) => send(index, {})));
		t.deepEqual(warm.filter(({done}) => !done), []);
	}

	await Promise.all(['engine-2', 'engine-3'].map(async server => entry.backend(server).process.kill('SIGTERM')));
	await waitUntil(async () => {
		const statuses = await Promise.all(entry.deployment.daemons.map(async daemon => entry.deployment.status(daemon)));
		return statuses.every(({servers}) => servers.every(server => server.server === 'engine-1' || server.server === 'labels-1' || server.shuttingDown === true)) || undefined;
	}, {description: 'the removal of two engines'});
	const results = await Promise.all(Array.from({length: 120}, async (_, index) => ask(index)));
	const whole = results.filter(({done}) => done);
	const refused = results.filter(({done}) => !done);
	t.log(`${whole.length} whole, ${refused.length} refused: ${JSON.stringify(refused.map(({problem}) => problem?.kind))}`);
	t.true(whole.length > 0);
	const isLate = ({problem}: CallResult) => problem?.kind === 'deadline-exceeded' || problem?.kind === 'deadline-exceeded-after-dispatch';
	const isRefused = ({problem, headers}: CallResult) => problem?.outcome === 'notRun' && Number(headers['retry-after']) >= 1;
	t.deepEqual(refused.filter(result => !isLate(result) && !isRefused(result)).map(({status, problem}) => [status, problem]), []);
	t.true(refused.some(result => isRefused(result)));
	const again = await waitUntil(async () => {
		const answer = await ask(0);
		return answer.done || undefined;
	}, {description: 'a response after the overload'});
	t.true(again);
});

test.serial('every instance explains the decisions of a request', async t => {
	const entry = await startEntryDeployment(t, {engines: 1});
	const {requestId} = await requestChat(entry.callers(1), {key, messages: messagesOf('Explain')});
	const answers = await Promise.all(entry.deployment.daemons.map(async ({operators}) => callOperator(`${operators}/v1/explain/${requestId}`, {key: deploymentKeys.operators})));
	for (const {status, body} of answers) {
		t.is(status, 200);
		t.like(body, {
			request: requestId, workspace: 'yard', ending: 'answered', attempts: [{
				attempt: 1, purpose: 'first', server: 'engine-1', outcome: 'ran',
			}],
		});
	}

	const {status} = await callOperator(`${entry.daemon(0).operators}/v1/explain/no-such-request`, {key: deploymentKeys.operators});
	t.is(status, 404);
});

function completeText(text: string): string {
	return generateFakeTokens({version: versions.first, messages: messagesOf(text), tokens}).join('');
}

/** Callers that send requests to one instance in a loop. */
class Load {
	readonly results: Array<readonly [string, CallResult]> = [];
	readonly #entry: EntryDeployment;
	readonly #index: number;
	#callers: Array<Promise<void>> = [];
	#ended = false;

	constructor(entry: EntryDeployment, index: number) {
		this.#entry = entry;
		this.#index = index;
	}

	begin(callers: number): void {
		this.#callers = Array.from({length: callers}, async (_, caller) => this.#sendRequests(caller));
	}

	async end(): Promise<void> {
		this.#ended = true;
		await Promise.all(this.#callers);
	}

	async #sendRequests(caller: number): Promise<void> {
		for (let turn = 0; !this.#ended; turn++) {
			const text = `Coil ${caller} turn ${turn}`;
			const result = await requestChatStream(this.#entry.callers(this.#index), {key, messages: messagesOf(text)});
			this.results.push([text, result]);
			if (result.status === 0) {
				return;
			}
		}
	}
}
