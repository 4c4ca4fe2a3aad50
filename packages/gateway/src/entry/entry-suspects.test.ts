import {type InstanceId, type RequestFingerprint, type ServerId} from '@valehitch/core';
import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {type ServerRecord} from '../servers/server-record.js';
import {EntrySuspects} from './entry-suspects.js';
import {type ProcessState} from './held-server.js';

const fingerprint = 'f1' as RequestFingerprint;
const other = 'f2' as RequestFingerprint;
const control = '10.0.0.1' as InstanceId;

/** What an instance knows, with servers whose processes have ended where `ended` names them. */
function startSuspects({ended, state = () => 'ready'}: {readonly ended: readonly string[]; readonly state?: (server: ServerRecord) => ProcessState}) {
	const looks: string[] = [];
	const learned: RequestFingerprint[] = [];
	const suspects = new EntrySuspects({
		clock: {now: () => new Date(0)},
		log: ignore,
		servers: {processStateOf: state},
		async confirmEnd({id}) {
			looks.push(id);
			return ended.includes(id);
		},
		onLearned(known) {
			learned.push(known);
		},
	});
	return {suspects, looks, learned};
}

function ignore(): void {
	// Nobody reads it.
}

function server(id: string): ServerRecord {
	return testServer({id: id as ServerId});
}

test('a connection that breaks counts where the process of its server has ended, and not where it goes on', async t => {
	const {suspects, learned} = startSuspects({ended: ['ended']});
	t.is(await suspects.noteLoss({fingerprint, request: 'a1', server: server('runs')}), 'runs');
	t.is(suspects.standing(fingerprint), 'unknown');
	t.is(await suspects.noteLoss({fingerprint, request: 'a1', server: server('ended')}), 'ended');
	t.is(suspects.standing(fingerprint), 'suspect');
	t.deepEqual(learned, [fingerprint]);
});

test('all requests that a server had are counted with one look, and only the first finds its end', async t => {
	const {suspects, looks} = startSuspects({ended: ['ended']});
	const findings = await Promise.all([fingerprint, other].map(async known => suspects.noteLoss({fingerprint: known, request: 'a1', server: server('ended')})));
	t.deepEqual(findings, ['ended', 'known']);
	t.deepEqual([fingerprint, other].map(known => suspects.standing(known)), ['suspect', 'suspect']);
	t.deepEqual(looks, ['ended']);
});

test('the end of a server that was shutting down is no sign, and that of one with a successor needs no look', async t => {
	const states: Readonly<Record<string, ProcessState>> = {
		leaving: 'draining', left: 'gone', forgotten: 'unknown', replaced: 'replaced',
	};
	const {suspects, looks} = startSuspects({ended: Object.keys(states), state: ({id}) => states[id]!});
	const findings: string[] = [];
	for (const id of Object.keys(states)) {
		findings.push(await suspects.noteLoss({fingerprint, request: 'a1', server: server(id)}));
	}

	t.deepEqual(findings, ['runs', 'runs', 'runs', 'ended']);
	t.deepEqual(looks, []);
});

test('a third end is told to the requests in progress, wherever the others were seen', async t => {
	const {suspects} = startSuspects({ended: ['c']});
	const quarantined: RequestFingerprint[] = [];
	const stop = suspects.onQuarantine(known => {
		quarantined.push(known);
	});
	suspects.take([{fingerprint, ends: ['a', 'b'].map(process => ({process, at: 0, isCleared: false}))}], control);
	t.is(suspects.standing(fingerprint), 'doubtful');
	await suspects.noteLoss({fingerprint, request: 'a1', server: server('c')});
	t.deepEqual(quarantined, [fingerprint]);
	stop();
	suspects.take([{fingerprint: other, ends: ['a', 'b', 'c'].map(process => ({process, at: 0, isCleared: false}))}], control);
	t.is(suspects.standing(other), 'quarantined');
	t.deepEqual(quarantined, [fingerprint]);
});

test('a whole answer clears a request, and others learn of it once', async t => {
	const {suspects, learned} = startSuspects({ended: ['ended']});
	await suspects.noteLoss({fingerprint, request: 'a1', server: server('ended')});
	suspects.noteAnswered(fingerprint);
	suspects.noteAnswered(fingerprint);
	suspects.noteAnswered(other);
	t.is(suspects.standing(fingerprint), 'unknown');
	t.deepEqual(learned, [fingerprint, fingerprint]);
});
