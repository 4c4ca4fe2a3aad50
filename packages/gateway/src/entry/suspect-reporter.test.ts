import {type InstanceId, type RequestFingerprint} from '@valehitch/core';
import {SuspectRegistry} from '@valehitch/routing';
import test from 'ava';
import {SuspectReporter} from './suspect-reporter.js';

const [first, second] = ['10.0.0.1', '10.0.0.2'] as InstanceId[];

/** Creates a reporter; `answers` decides which control instances acknowledge reports. */
function createReporter(answers: (to: InstanceId) => boolean = () => true) {
	const suspects = new SuspectRegistry();
	const sent: string[] = [];
	const reporter = new SuspectReporter({
		registry: suspects,
		async send(to, {records}) {
			sent.push(`${to} ${records.map(({fingerprint, ends}) => `${fingerprint}:${ends.length}`).join(',')}`);
			await Promise.resolve();
			return answers(to);
		},
	});
	return {suspects, sent, reporter};
}

function noteEnd(suspects: SuspectRegistry, {fingerprint, process}: {readonly fingerprint: string; readonly process: string}): RequestFingerprint {
	suspects.recordExit(fingerprint as RequestFingerprint, {process, at: 0});
	return fingerprint as RequestFingerprint;
}

async function waitForCallbacks(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

test('a changed record is sent to all control instances immediately', t => {
	const {suspects, sent, reporter} = createReporter();
	reporter.addControl(first!, 'one');
	reporter.addControl(second!, 'one');
	reporter.report(noteEnd(suspects, {fingerprint: 'f1', process: 'a'}));
	t.deepEqual(sent, ['10.0.0.1 f1:1', '10.0.0.2 f1:1']);
});

test('records that change while a message is in flight are sent together in the next one', async t => {
	const {suspects, sent, reporter} = createReporter();
	reporter.addControl(first!, 'one');
	for (const fingerprint of ['f1', 'f2', 'f3']) {
		reporter.report(noteEnd(suspects, {fingerprint, process: 'a'}));
	}

	await waitForCallbacks();
	t.deepEqual(sent, ['10.0.0.1 f1:1', '10.0.0.1 f2:1,f3:1']);
});

test('a control instance that did not acknowledge or restarted gets all shared records when it next replies', async t => {
	let answers = false;
	const {suspects, sent, reporter} = createReporter(() => answers);
	reporter.addControl(first!, 'one');
	noteEnd(suspects, {fingerprint: 'f1', process: 'a'});
	reporter.report(noteEnd(suspects, {fingerprint: 'f1', process: 'b'}));
	await waitForCallbacks();
	answers = true;
	reporter.addControl(first!, 'one');
	await waitForCallbacks();
	reporter.addControl(first!, 'one');
	reporter.addControl(first!, 'two');
	await waitForCallbacks();
	t.deepEqual(sent, ['10.0.0.1 f1:2', '10.0.0.1 f1:2', '10.0.0.1 f1:2']);
});
