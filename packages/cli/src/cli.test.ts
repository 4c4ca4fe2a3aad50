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

type Ran = {readonly code: number; readonly stdout: string; readonly stderr: string};
type Seen = {readonly method: string; readonly url: string; readonly authorization: string; readonly match: string; readonly changeId: string; readonly body: string};
type Reply = {readonly status: number; readonly body: unknown} | 'hang up';

async function run(commandLine: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<Ran> {
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

/** An operators' interface that gives the replies in turn, the last one over and over. */
async function standIn(t: ExecutionContext, replies: readonly Reply[]): Promise<{seen: Seen[]; environment: Record<string, string>}> {
	const seen: Seen[] = [];
	const server = createServer((incoming, outgoing) => {
		look(incoming).then(call => {
			seen.push(call);
			reply(outgoing, replies[Math.min(seen.length, replies.length) - 1] ?? 'hang up');
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
	return {seen, environment: {[serverVariable]: `http://127.0.0.1:${port}`, [keyVariable]: 'k'}};
}

async function look(incoming: IncomingMessage): Promise<Seen> {
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

test('check passes the examples and tells the kinds apart', async t => {
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

test('apply reads the current revision and sends the document against it', async t => {
	const {seen, environment} = await standIn(t, [current, committed(5, ['z'])]);
	const {code, stdout, stderr} = await run(['apply', configurationFile], environment);
	t.is(code, 0);
	t.is(stdout, 'Committed as revision 5\nNot yet in force in z\n');
	t.like(seen[1], {method: 'PUT', authorization: 'Bearer k', match: '"4"'});
	t.is(stderr, `Change ${seen[1]?.changeId} against revision 4\n`);
	t.regex(seen[1]?.changeId ?? '', /^[\da-f\-]{36}$/v);
	t.like(JSON.parse(seen[1]?.body ?? ''), {services: {labels: {pricePerCall: 0.0001}}});
});

test('apply exits with 2 on a conflict and says the current revision', async t => {
	const {environment} = await standIn(t, [conflict]);
	const {code, stderr} = await run(['apply', configurationFile, '--revision', '4', '--change-id', 'c1'], environment);
	t.is(code, 2);
	t.regex(stderr.replaceAll(/\s+[›»]?\s*/gv, ' '), /Another change was committed first: got a change against revision 4, wanted one against revision 6/v);
	const asJson = await run(['apply', configurationFile, '--revision', '4', '--change-id', 'c1', '--json'], environment);
	t.is(asJson.code, 2);
	t.like(JSON.parse(asJson.stdout), {error: {kind: 'revision-conflict', details: {currentRevision: 6, changeId: 'c1'}}});
});

test('a resend after a lost answer has the same change id', async t => {
	const {seen, environment} = await standIn(t, ['hang up', committed(5, [])]);
	const {code, stdout} = await run(['apply', configurationFile, '--revision', '4'], environment);
	t.is(code, 0);
	t.is(stdout, 'Committed as revision 5\nIn force in every zone\n');
	t.is(seen.length, 2);
	t.deepEqual(seen[0], seen[1]);
});

test('an answer lost over and over is said to be unknown', async t => {
	const {seen, environment} = await standIn(t, ['hang up']);
	const {code, stdout} = await run(['apply', configurationFile, '--revision', '4', '--change-id', 'c1', '--json'], environment);
	t.is(code, 1);
	t.is(seen.length, 3);
	t.like(JSON.parse(stdout), {error: {kind: 'outcome-unknown', details: {changeId: 'c1', revision: 4}}});
});

test('apply --wait asks with the same change until it is in force', async t => {
	const {seen, environment} = await standIn(t, [committed(5, ['z']), committed(5, ['z']), committed(5, [])]);
	const {code, stdout} = await run(['apply', configurationFile, '--revision', '4', '--wait'], environment);
	t.is(code, 0);
	t.is(stdout, 'Committed as revision 5\nIn force in every zone\n');
	t.is(seen.length, 3);
	t.is(new Set(seen.map(({changeId}) => changeId)).size, 1);
});

test('apply --wait gives up after the time set', async t => {
	const {environment} = await standIn(t, [committed(5, ['z'])]);
	const {code, stdout} = await run(['apply', configurationFile, '--revision', '4', '--wait', '--wait-seconds', '1', '--json'], environment);
	t.is(code, 1);
	t.like(JSON.parse(stdout), {error: {kind: 'deadline-exceeded', outcome: 'ran', details: {revision: 5}}});
});

test('get prints the document, and all of it with --json', async t => {
	const {environment} = await standIn(t, [current]);
	const {code, stdout} = await run(['get'], environment);
	t.is(code, 0);
	t.deepEqual(JSON.parse(stdout), {models: {}});
	const asJson = await run(['get', '--json'], environment);
	t.like(JSON.parse(asJson.stdout), {revision: 4});
});

test('status prints a table without control characters', async t => {
	const {environment} = await standIn(t, [{
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

test('a refused key, a dead server and a wrong command line exit with their codes', async t => {
	const {environment} = await standIn(t, [{status: 401, body: {kind: 'unauthenticated', detail: 'Got another key', outcome: 'notRun'}}]);
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

test('withdraw changes the one version against the revision it was read at', async t => {
	const {seen, environment} = await standIn(t, [withVersion, committed(5, [])]);
	const {code, stdout} = await run(['withdraw', 'small', 'v1'], environment);
	t.is(code, 0);
	t.is(stdout, 'Withdrawn with revision 5\nIn force in every zone\n');
	t.like(seen[1], {method: 'PUT', match: '"4"'});
	t.like(JSON.parse(seen[1]?.body ?? ''), {models: {small: {versions: {v1: {state: 'withdrawn', quality: 0.9}}}}});
	t.is(await exitCode(['withdraw', 'small', 'v9'], environment), 1);
});

test('withdraw gives up on a conflict, and with --retry makes the change anew under a new id', async t => {
	const without = await standIn(t, [withVersion, conflict]);
	t.is(await exitCode(['withdraw', 'small', 'v1'], without.environment), 2);
	t.is(without.seen.length, 2);
	const {seen, environment} = await standIn(t, [withVersion, conflict, withVersion, committed(7, [])]);
	t.is(await exitCode(['withdraw', 'small', 'v1', '--retry'], environment), 0);
	t.not(seen[1]?.changeId, seen[3]?.changeId);
});

test('diff shows what a file would change', async t => {
	const file = path.join(await mkdtemp(path.join(tmpdir(), 'valehitch-')), 'next.yaml');
	await writeFile(file, 'models:\n  small:\n    versions:\n      v1: {state: withdrawn, quality: 0.9, prices: {input: 1, output: 1}}\n');
	const {environment} = await standIn(t, [withVersion]);
	const {stdout} = await run(['diff', file], environment);
	t.true(stdout.includes('- models.small.versions.v1.state: settled\n+ models.small.versions.v1.state: withdrawn\n'));
});

test('rollout shows, stops, and advances from the stage in force', async t => {
	const {seen, environment} = await standIn(t, [withVersion, {status: 200, body: {revision: 5}}, withVersion, {status: 200, body: {revision: 6}}, withVersion]);
	t.is(await exitCode(['rollout', 'advance', 'small', 'v1'], environment), 0);
	t.deepEqual(JSON.parse(seen[1]?.body ?? ''), {
		model: 'small', version: 'v1', action: 'advance', fromStage: 1,
	});
	t.is(await exitCode(['rollout', 'stop', 'small', 'v1', '--reason', 'odd'], environment), 0);
	t.like(JSON.parse(seen[3]?.body ?? ''), {action: 'stop', reason: 'odd'});
	const shown = await run(['rollout'], environment);
	t.true(shown.stdout.includes('small@v1  running  1'));
	t.is(await exitCode(['rollout', 'stop'], environment), 1);
});

test('ledger reads all pages, explain prints decisions, drain names its order', async t => {
	const ledger = await standIn(t, [
		{status: 200, body: {bills: [{workspace: 'w', request: 'r1', lines: [{}]}], next: 1}},
		{status: 200, body: {bills: [{workspace: 'w', request: 'r2', lines: []}]}},
	]);
	const bills = await run(['ledger', '--all'], ledger.environment);
	t.true(bills.stdout.includes('r1') && bills.stdout.includes('r2'));
	const refused = await standIn(t, [{status: 200, body: {bills: [{workspace: 'w', request: 'r3', lines: []}]}}]);
	const {stdout: listed} = await run(['ledger', '--refused'], refused.environment);
	t.true(listed.includes('r3'));
	t.is(refused.seen[0]?.url, '/v1/ledger?after=0&refused=true');
	const explain = await standIn(t, [{status: 200, body: {request: 'r1', steps: [{verdict: 'eligible', model: 'small'}]}}]);
	const {stdout} = await run(['explain', 'r1'], explain.environment);
	t.is(stdout, 'request: r1\nsteps:\n  verdict eligible, model small\n');
	const drain = await standIn(t, [{status: 202, body: {orderId: 'o1'}}]);
	t.is(await exitCode(['drain', 'engine-1', '--order-id', 'o1'], drain.environment), 0);
	t.deepEqual(JSON.parse(drain.seen[0]?.body ?? ''), {orderId: 'o1', server: 'engine-1', order: {type: 'set-role', role: 'drain'}});
});

test('timeline asks running instances', async t => {
	const event = {
		event: 'instance-started', instance: 'entry-1', zone: 'zone-a', stamp: {wall: 0, counter: 2},
	};
	const {environment} = await standIn(t, [{status: 200, body: {events: [event, {broken: true}], next: 2, dropped: 0}}]);
	const {stdout} = await run(['timeline', '--servers', environment[serverVariable] ?? ''], environment);
	t.is(stdout, 'TIME                        INSTANCE  ZONE    EVENT             SUBJECT\n1970-01-01T00:00:00.000Z+2  entry-1   zone-a  instance-started\n');
	t.is(await exitCode(['timeline']), 1);
});
