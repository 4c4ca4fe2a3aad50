import {
	type InstanceId, type RequestFingerprint, type ServerId, type SuspectFingerprint,
} from '@valehitch/core';
import {promptPartFingerprint} from '@valehitch/routing';
import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {type ServerRecord} from '../servers/server-record.js';
import {EntrySuspects} from './entry-suspects.js';
import {type ProcessState} from './tracked-server.js';

const fingerprint = 'f1' as RequestFingerprint;
const other = 'f2' as RequestFingerprint;
const control = '10.0.0.1' as InstanceId;

/** Creates the suspects of an instance; the processes of the servers in `ended` have ended. */
function createSuspects({ended, state = () => 'ready', now = () => 0}: {readonly ended: readonly string[]; readonly state?: (server: ServerRecord) => ProcessState; readonly now?: () => number}) {
	const checks: string[] = [];
	const changed: SuspectFingerprint[] = [];
	const suspects = new EntrySuspects({
		clock: {now: () => new Date(now())},
		log: ignore,
		servers: {processStateOf: state},
		async checkProcess({id}) {
			checks.push(id);
			return ended.includes(id) ? 'ended' : 'running';
		},
		onChanged(known) {
			changed.push(known);
		},
	});
	return {suspects, checks, changed};
}

function ignore(): void {
	// Intentionally empty.
}

function server(id: string): ServerRecord {
	return testServer({id: id as ServerId});
}

test('a broken connection counts against a request only if the server process has ended', async t => {
	const {suspects, changed} = createSuspects({ended: ['ended']});
	t.is(await suspects.recordLoss({
		fingerprint, parts: [], request: 'a1', server: server('running'),
	}), 'running');
	t.is(suspects.statusOf(fingerprint), 'unknown');
	t.is(await suspects.recordLoss({
		fingerprint, parts: [], request: 'a1', server: server('ended'),
	}), 'ended');
	t.is(suspects.statusOf(fingerprint), 'suspect');
	t.deepEqual(changed, [fingerprint]);
});

test('all requests in flight at a server share one check, and only the first one reports its end', async t => {
	const {suspects, checks} = createSuspects({ended: ['ended']});
	const findings = await Promise.all([fingerprint, other].map(async known => suspects.recordLoss({
		fingerprint: known, parts: [], request: 'a1', server: server('ended'),
	})));
	t.deepEqual(findings, ['ended', 'already-ended']);
	t.deepEqual([fingerprint, other].map(known => suspects.statusOf(known)), ['suspect', 'suspect']);
	t.deepEqual(checks, ['ended']);
});

test('the end of a draining server does not count, and that of a replaced one needs no check', async t => {
	const states: Readonly<Record<string, ProcessState>> = {
		leaving: 'draining', left: 'gone', forgotten: 'unknown', replaced: 'replaced',
	};
	const {suspects, checks} = createSuspects({ended: Object.keys(states), state: ({id}) => states[id]!});
	const findings: string[] = [];
	for (const id of Object.keys(states)) {
		findings.push(await suspects.recordLoss({
			fingerprint, parts: [], request: 'a1', server: server(id),
		}));
	}

	t.deepEqual(findings, ['running', 'running', 'running', 'ended']);
	t.deepEqual(checks, []);
});

test('the third server end quarantines the requests in progress, even if other instances saw the first two', async t => {
	const {suspects} = createSuspects({ended: ['c']});
	const quarantined: RequestFingerprint[] = [];
	const stop = suspects.onQuarantine(known => {
		quarantined.push(known);
	});
	suspects.merge([{fingerprint, ends: ['a', 'b'].map(process => ({process, at: 0, isCleared: false}))}], control);
	t.is(suspects.statusOf(fingerprint), 'doubtful');
	await suspects.recordLoss({
		fingerprint, parts: [], request: 'a1', server: server('c'),
	});
	t.deepEqual(quarantined, [fingerprint]);
	stop();
	suspects.merge([{fingerprint: other, ends: ['a', 'b', 'c'].map(process => ({process, at: 0, isCleared: false}))}], control);
	t.is(suspects.statusOf(other), 'quarantined');
	t.deepEqual(quarantined, [fingerprint]);
});

test('a complete answer clears a request, and is reported once', async t => {
	const {suspects, changed} = createSuspects({ended: ['ended']});
	await suspects.recordLoss({
		fingerprint, parts: [], request: 'a1', server: server('ended'),
	});
	suspects.recordAnswered(fingerprint);
	suspects.recordAnswered(fingerprint);
	suspects.recordAnswered(other);
	t.is(suspects.statusOf(fingerprint), 'unknown');
	t.deepEqual(changed, [fingerprint, fingerprint]);
});

const part = promptPartFingerprint('5c');

/** Creates the suspects of an instance with a clock that can be set, and a way to lose requests with the part. */
function createPartSuspects() {
	let time = 100_000;
	const created = createSuspects({ended: ['a', 'b', 'c'], now: () => time});
	return {
		...created,
		setTime(to: number): void {
			time = to;
		},
		async lose(id: string): Promise<void> {
			await created.suspects.recordLoss({
				fingerprint: `request at ${id}` as RequestFingerprint, parts: [part], request: 'a1', server: server(id),
			});
		},
	};
}

test('a part of prompts is quarantined after servers ended under requests that have nothing else in common, and a request without it is not', async t => {
	const {suspects, changed, lose, setTime} = createPartSuspects();
	for (const [index, id] of ['a', 'b', 'c'].entries()) {
		setTime(100_000 + (index * 500));
		await lose(id);
	}

	setTime(102_000);
	t.is(suspects.standingOf({fingerprint, parts: [part]}), 'quarantined');
	t.is(suspects.standingOf({fingerprint, parts: [promptPartFingerprint('91')]}), 'unknown');
	t.is(suspects.statusOf('request at a' as RequestFingerprint), 'unknown');
	t.is(changed.filter(known => known === part).length, 3);
});

test('the end of a server does not count against a part that was answered shortly before, and a later answer clears it', async t => {
	const {suspects, lose, setTime} = createPartSuspects();
	suspects.recordAnsweredParts([part]);
	setTime(100_900);
	await lose('a');
	t.is(suspects.statusOf(part), 'unknown');
	setTime(101_100);
	await lose('b');
	t.is(suspects.statusOf(part), 'suspect');
	suspects.recordAnsweredParts([part]);
	t.is(suspects.statusOf(part), 'unknown');
});

test('an answer clears a part of ends that other instances saw before it, and marks it as answered for later ones', t => {
	const {suspects, changed, setTime} = createPartSuspects();
	suspects.recordAnsweredParts([part]);
	const endAt = (process: string, at: number) => ({process, at, isCleared: false});
	suspects.merge([{fingerprint: part, ends: [endAt('d', 99_000), endAt('e', 99_500)]}], control);
	t.is(suspects.statusOf(part), 'unknown');
	setTime(110_000);
	suspects.merge([{fingerprint: part, ends: [endAt('f', 105_000)]}], control);
	t.is(suspects.statusOf(part), 'suspect');
	t.is(suspects.registry.get(part)?.answeredAt, 100_000);
	t.deepEqual(changed, [part, part]);
});
