import {execFile} from 'node:child_process';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';

const program = fileURLToPath(new URL('bin/valehitch.js', import.meta.url));
const examples = fileURLToPath(new URL('../../../examples/', import.meta.url));
const settingsFile = path.join(examples, 'embedded.yaml');
const configurationFile = path.join(examples, 'configuration.yaml');

const serverVariable = 'VALEHITCH_SERVER';
const keyVariable = 'VALEHITCH_KEY';

type CommandResult = {readonly code: number; readonly stdout: string; readonly stderr: string};
type ReceivedRequest = {readonly method: string; readonly url: string; readonly authorization: string; readonly match: string; readonly changeId: string; readonly body: string};
type Reply = {readonly status: number; readonly body: unknown} | 'hang up';

async function run(commandLine: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<CommandResult> {
	return new Promise(resolve => {
		execFile(process.execPath, [program, ...commandLine], {env: {...process.env, ...environment}}, (error, stdout, stderr) => {
			resolve({code: typeof error?.code === 'number' ? error.code : 0, stdout, stderr});
		});
	});
}

async function exitCode(commandLine: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<number> {
	const {code} = await run(commandLine, environment);
	return code;
}

/** Starts a fake operator API that sends the replies in order and repeats the last one. */
async function startFakeInstance(t: ExecutionContext, replies: readonly Reply[]): Promise<{received: ReceivedRequest[]; environment: Record<string, string>}> {
	const received: ReceivedRequest[] = [];
	const server = createServer((incoming, outgoing) => {
		readRequest(incoming).then(call => {
			received.push(call);
			reply(outgoing, replies[Math.min(received.length, replies.length) - 1] ?? 'hang up');
		}, (error: unknown) => {
			t.fail(String(error));
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	return {received, environment: {[serverVariable]: `http://127.0.0.1:${port}`, [keyVariable]: 'k'}};
}

async function readRequest(incoming: IncomingMessage): Promise<ReceivedRequest> {
	const {authorization = '', 'if-match': match = '', 'valehitch-change-id': changeId = ''} = incoming.headers;
	return {
		url: incoming.url ?? '', method: incoming.method ?? '', authorization, match, changeId: String(changeId), body: await text(incoming),
	};
}

function reply(outgoing: ServerResponse, answer: Reply): void {
	if (answer === 'hang up') {
		outgoing.destroy();
		return;
	}

	outgoing.writeHead(answer.status, {'Content-Type': 'application/json', connection: 'close'}).end(JSON.stringify(answer.body));
}

function committed(revision: number, waitingFor: readonly string[]): Reply {
	return {status: 200, body: {revision, committed: true, inForce: {complete: waitingFor.length === 0, waitingFor}}};
}

const current: Reply = {status: 200, body: {revision: 4, document: {models: {}}, rollouts: {}}};
const conflict: Reply = {
	status: 412, body: {
		kind: 'revision-conflict', detail: 'Got revision 4, wanted 6', outcome: 'notRun', details: {currentRevision: 6},
	},
};

test('check accepts the example settings and the example configuration', async t => {
	t.deepEqual(await run(['check', settingsFile, configurationFile]), {code: 0, stdout: '', stderr: ''});
});

test('check names the file, line and column of each problem', async t => {
	const file = path.join(await mkdtemp(path.join(tmpdir(), 'valehitch-')), 'broken.yaml');
	await writeFile(file, 'workspaces:\n  w:\n    policy:\n      - {name: a, when: request.colour == 1, models: [m], qualityTarget: 1}\n');
	const {code, stdout} = await run(['check', file]);
	t.is(code, 1);
	t.true(stdout.includes(`${file}:4:55 workspaces.w.policy[0].models[0]: got "m", wanted a model under models`));
	t.true(stdout.includes(`${file}:4:25 workspaces.w.policy[0].when: got "request.colour == 1", wanted a CEL condition`));
	const asJson = await run(['check', file, '--json']);
	t.is(asJson.code, 1);
	t.like(JSON.parse(asJson.stdout), {ok: false, problems: {length: 2}});
	t.is(await exitCode(['check', `${file}.missing`]), 1);
});

test('apply fetches the current revision and submits the document with it in If-Match', async t => {
	const {received, environment} = await startFakeInstance(t, [current, committed(5, ['z'])]);
	const {code, stdout, stderr} = await run(['apply', configurationFile], environment);
	t.is(code, 0);
	t.is(stdout, 'Committed as revision 5\nNot yet in force in z\n');
	t.like(received[1], {method: 'PUT', authorization: 'Bearer k', match: '"4"'});
	t.is(stderr, `Change ${received[1]?.changeId} against revision 4\n`);
	t.regex(received[1]?.changeId ?? '', /^[\da-f\-]{36}$/v);
	t.like(JSON.parse(received[1]?.body ?? ''), {services: {labels: {pricePerCall: 0.0001}}});
});

test('apply exits with 2 on a conflict and prints the current revision', async t => {
	const {environment} = await startFakeInstance(t, [conflict]);
	const {code, stderr} = await run(['apply', configurationFile, '--revision', '4', '--change-id', 'c1'], environment);
	t.is(code, 2);
	t.regex(stderr.replaceAll(/\s+[›»]?\s*/gv, ' '), /Another change was committed first: got a change against revision 4, wanted one against revision 6/v);
	const asJson = await run(['apply', configurationFile, '--revision', '4', '--change-id', 'c1', '--json'], environment);
	t.is(asJson.code, 2);
	t.like(JSON.parse(asJson.stdout), {error: {kind: 'revision-conflict', details: {currentRevision: 6, changeId: 'c1'}}});
});

test('a resend after a lost response has the same change id', async t => {
	const {received, environment} = await startFakeInstance(t, ['hang up', committed(5, [])]);
	const {code, stdout} = await run(['apply', configurationFile, '--revision', '4'], environment);
	t.is(code, 0);
	t.is(stdout, 'Committed as revision 5\nIn force in every zone\n');
	t.is(received.length, 2);
	t.deepEqual(received[0], received[1]);
});

test('apply reports an unknown outcome when every response is lost', async t => {
	const {received, environment} = await startFakeInstance(t, ['hang up']);
	const {code, stdout} = await run(['apply', configurationFile, '--revision', '4', '--change-id', 'c1', '--json'], environment);
	t.is(code, 1);
	t.is(received.length, 3);
	t.like(JSON.parse(stdout), {error: {kind: 'outcome-unknown', details: {changeId: 'c1', revision: 4}}});
});

test('apply --wait resends the same change until it is in force', async t => {
	const {received, environment} = await startFakeInstance(t, [committed(5, ['z']), committed(5, ['z']), committed(5, [])]);
	const {code, stdout} = await run(['apply', configurationFile, '--revision', '4', '--wait'], environment);
	t.is(code, 0);
	t.is(stdout, 'Committed as revision 5\nIn force in every zone\n');
	t.is(received.length, 3);
	t.is(new Set(received.map(({changeId}) => changeId)).size, 1);
});

test('apply --wait gives up after --wait-seconds', async t => {
	const {environment} = await startFakeInstance(t, [committed(5, ['z'])]);
	const {code, stdout} = await run(['apply', configurationFile, '--revision', '4', '--wait', '--wait-seconds', '1', '--json'], environment);
	t.is(code, 1);
	t.like(JSON.parse(stdout), {error: {kind: 'deadline-exceeded', outcome: 'ran', details: {revision: 5}}});
});

test('get prints the document, and the revision as well with --json', async t => {
	const {environment} = await startFakeInstance(t, [current]);
	const {code, stdout} = await run(['get'], environment);
	t.is(code, 0);
	t.deepEqual(JSON.parse(stdout), {models: {}});
	const asJson = await run(['get', '--json'], environment);
	t.like(JSON.parse(asJson.stdout), {revision: 4});
});

test('status prints a table without control characters', async t => {
	const {environment} = await startFakeInstance(t, [{
		status: 200, body: {
			instance: 'entry-1', revision: 4, servers: [{
				server: 'engine-1\u{1B}[2J', zone: 'z', kind: 'engine', active: 3,
			}],
		},
	}]);
	const {code, stdout} = await run(['status'], environment);
	t.is(code, 0);
	t.is(stdout, 'instance: entry-1\nrevision: 4\n\nSERVER        ZONE  KIND    ACTIVE\nengine-1?[2J  z     engine  3\n');
});

test('a refused key or an unreachable server exits with 1, an invalid command line with 64', async t => {
	const {environment} = await startFakeInstance(t, [{status: 401, body: {kind: 'unauthenticated', detail: 'Got another key', outcome: 'notRun'}}]);
	t.is(await exitCode(['get'], environment), 1);
	t.is(await exitCode(['get', '--server', 'http://127.0.0.1:1'], environment), 1);
	t.is(await exitCode(['get', '--server', 'https://127.0.0.1'], environment), 1);
	t.is(await exitCode(['get', '--colour'], environment), 64);
	t.is(await exitCode(['get'], {[keyVariable]: ''}), 64);
});

const withVersion: Reply = {
	status: 200, body: {
		revision: 4, document: {models: {small: {versions: {v1: {state: 'settled', quality: 0.9, prices: {input: 1, output: 1}}}}}},
		rollouts: {'small@v1': {status: 'running', stage: 1}},
	},
};

test('withdraw changes only the one version, with the fetched revision in If-Match', async t => {
	const {received, environment} = await startFakeInstance(t, [withVersion, committed(5, [])]);
	const {code, stdout} = await run(['withdraw', 'small', 'v1'], environment);
	t.is(code, 0);
	t.is(stdout, 'Withdrawn with revision 5\nIn force in every zone\n');
	t.like(received[1], {method: 'PUT', match: '"4"'});
	t.like(JSON.parse(received[1]?.body ?? ''), {models: {small: {versions: {v1: {state: 'withdrawn', quality: 0.9}}}}});
	t.is(await exitCode(['withdraw', 'small', 'v9'], environment), 1);
});

test('withdraw gives up on a conflict, and with --retry resubmits the change under a new id', async t => {
	const without = await startFakeInstance(t, [withVersion, conflict]);
	t.is(await exitCode(['withdraw', 'small', 'v1'], without.environment), 2);
	t.is(without.received.length, 2);
	const {received, environment} = await startFakeInstance(t, [withVersion, conflict, withVersion, committed(7, [])]);
	t.is(await exitCode(['withdraw', 'small', 'v1', '--retry'], environment), 0);
	t.not(received[1]?.changeId, received[3]?.changeId);
});

const withServers: Reply = {status: 200, body: {instance: 'entry-1', servers: [{server: 'engine-1', zone: 'hall-a', kind: 'engine'}]}};

test('evacuate adds a zone that has servers to the document, and --end takes it out', async t => {
	const evacuated: Reply = {status: 200, body: {revision: 5, document: {models: {}, evacuatedZones: ['hall-b', 'hall-a']}, rollouts: {}}};
	const {received, environment} = await startFakeInstance(t, [withServers, current, committed(5, []), withServers, evacuated, committed(6, [])]);
	const begun = await run(['evacuate', 'hall-a'], environment);
	t.is(begun.stdout, 'Evacuated hall-a with revision 5\nIn force in every zone\n');
	t.like(received[2], {method: 'PUT', match: '"4"'});
	t.like(JSON.parse(received[2]?.body ?? ''), {evacuatedZones: ['hall-a']});
	const ended = await run(['evacuate', 'hall-a', '--end'], environment);
	t.is(ended.stdout, 'hall-a serves again with revision 6\nIn force in every zone\n');
	t.like(JSON.parse(received[5]?.body ?? ''), {evacuatedZones: ['hall-b']});
});

test('evacuate refuses a zone without servers and names those that have some', async t => {
	const {received, environment} = await startFakeInstance(t, [withServers, current]);
	const {code, stderr} = await run(['evacuate', 'hall-x'], environment);
	t.is(code, 1);
	t.true(stderr.includes('hall-a'));
	t.is(received.length, 2, 'nothing is submitted');
});

test('diff shows what a file would change', async t => {
	const file = path.join(await mkdtemp(path.join(tmpdir(), 'valehitch-')), 'next.yaml');
	await writeFile(file, 'models:\n  small:\n    versions:\n      v1: {state: withdrawn, quality: 0.9, prices: {input: 1, output: 1}}\n');
	const {environment} = await startFakeInstance(t, [withVersion]);
	const {stdout} = await run(['diff', file], environment);
	t.true(stdout.includes('- models.small.versions.v1.state: settled\n+ models.small.versions.v1.state: withdrawn\n'));
});

test('rollout shows rollouts, stops one, and advances one from its current stage', async t => {
	const {received, environment} = await startFakeInstance(t, [withVersion, {status: 200, body: {revision: 5}}, withVersion, {status: 200, body: {revision: 6}}, withVersion]);
	t.is(await exitCode(['rollout', 'advance', 'small', 'v1'], environment), 0);
	t.deepEqual(JSON.parse(received[1]?.body ?? ''), {
		model: 'small', version: 'v1', action: 'advance', fromStage: 1,
	});
	t.is(await exitCode(['rollout', 'stop', 'small', 'v1', '--reason', 'odd'], environment), 0);
	t.like(JSON.parse(received[3]?.body ?? ''), {action: 'stop', reason: 'odd'});
	const shown = await run(['rollout'], environment);
	t.true(shown.stdout.includes('small@v1  running  1'));
	t.is(await exitCode(['rollout', 'stop'], environment), 1);
});

test('ledger fetches all pages, explain prints decisions, drain submits its order id', async t => {
	const ledger = await startFakeInstance(t, [
		{status: 200, body: {bills: [{workspace: 'w', request: 'r1', lines: [{}]}], next: 1}},
		{status: 200, body: {bills: [{workspace: 'w', request: 'r2', lines: []}]}},
	]);
	const bills = await run(['ledger', '--all'], ledger.environment);
	t.true(bills.stdout.includes('r1') && bills.stdout.includes('r2'));
	const refused = await startFakeInstance(t, [{status: 200, body: {bills: [{workspace: 'w', request: 'r3', lines: []}]}}]);
	const {stdout: listed} = await run(['ledger', '--refused'], refused.environment);
	t.true(listed.includes('r3'));
	t.is(refused.received[0]?.url, '/v1/ledger?after=0&refused=true');
	const explain = await startFakeInstance(t, [{status: 200, body: {request: 'r1', steps: [{verdict: 'eligible', model: 'small'}]}}]);
	const {stdout} = await run(['explain', 'r1'], explain.environment);
	t.is(stdout, 'request: r1\nsteps:\n  verdict eligible, model small\n');
	const drain = await startFakeInstance(t, [{status: 202, body: {orderId: 'o1'}}]);
	t.is(await exitCode(['drain', 'engine-1', '--order-id', 'o1'], drain.environment), 0);
	t.deepEqual(JSON.parse(drain.received[0]?.body ?? ''), {orderId: 'o1', server: 'engine-1', order: {type: 'set-role', role: 'drain'}});
});

test('timeline fetches events from running instances', async t => {
	const event = {
		event: 'instance-started', instance: 'entry-1', zone: 'zone-a', stamp: {wall: 0, counter: 2},
	};
	const {environment} = await startFakeInstance(t, [{status: 200, body: {events: [event, {broken: true}], next: 2, dropped: 0}}]);
	const {stdout} = await run(['timeline', '--servers', environment[serverVariable] ?? ''], environment);
	t.is(stdout, 'TIME                        INSTANCE  ZONE    EVENT             SUBJECT\n1970-01-01T00:00:00.000Z+2  entry-1   zone-a  instance-started\n');
	t.is(await exitCode(['timeline']), 1);
});

test('profile asks the metrics port for the given time, prints both tables, and passes on a rejection', async t => {
	const {received, environment} = await startFakeInstance(t, [
		{
			status: 200,
			body: {
				milliseconds: 2000,
				groups: [{name: 'idle', milliseconds: 1500, share: 0.75}, {name: 'forwarding', milliseconds: 500, share: 0.25}],
				functions: [{name: '(idle)', milliseconds: 1500, share: 0.75}, {name: 'forward gateway/entry/relay-stream:82', milliseconds: 500, share: 0.25}],
			},
		},
		{status: 409, body: {kind: 'profile-in-progress', detail: 'Another profile is recorded'}},
	]);
	const instance = environment[serverVariable]?.replace('http://', '') ?? '';
	const {stdout} = await run(['profile', '--instance', instance, '--seconds', '2']);
	t.is(received[0]?.url, '/profile?seconds=2&format=json');
	t.regex(stdout, /500\.0 +25\.0 +forwarding\n/v);
	t.regex(stdout, /500\.0 +25\.0 +forward gateway\/entry\/relay-stream:82\n/v);
	const rejected = await run(['profile', '--instance', instance]);
	t.is(rejected.code, 1);
	t.regex(rejected.stderr, /Another profile is recorded/v);
	t.not(await exitCode(['profile', '--instance', instance, '--seconds', '31']), 0);
	t.is(received.length, 2);
});

test('beliefs prints a row for each server, and why prints each decision with the servers considered', async t => {
	const {received, environment} = await startFakeInstance(t, [
		{
			status: 200, body: {
				servers: [{
					server: 's1', zone: 'hall-a', state: 'ready', ownLoad: 1.6, othersLoad: 4, reportedAgo: 812.4, conditions: ['paused'], notChosen: 'has asked for a pause', work: {slowness: 2},
				}],
			},
		},
		{
			status: 200,
			body: {
				request: 'a/1',
				decisions: [
					{
						kind: 'chosen', millisecondsAgo: 900, server: 's1', considered: [{server: 's1', verdict: 'chosen'}, {server: 's2', verdict: 'is shutting down'}],
					},
					{kind: 'refused', millisecondsAgo: 20, facts: {error: 'overloaded', share: 0.2}},
				],
			},
		},
		{status: 404, body: {kind: 'not-found', detail: 'Nothing is kept of request b'}},
	]);
	const instance = environment[serverVariable]?.replace('http://', '') ?? '';
	const beliefs = await run(['beliefs', '--instance', instance]);
	t.regex(beliefs.stdout, /^s1 +- +hall-a +- +ready +2 +4 +2 +- +812 +- +paused +has asked for a pause$/mv);
	const why = await run(['why', 'a/1', '--instance', instance]);
	t.is(why.stdout, '900 ms ago: chosen, server s1\n  s1 chosen\n  s2 is shutting down\n20 ms ago: refused, error overloaded, share 0.2\n');
	const unknown = await run(['why', 'b', '--instance', instance]);
	t.is(unknown.code, 1);
	t.deepEqual(received.map(({url}) => url), ['/servers', '/decisions/a%2F1', '/decisions/b']);
});
