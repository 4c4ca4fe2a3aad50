import {type InstanceId, type RequestFingerprint} from '@valehitch/core';
import {SuspectBook} from '@valehitch/routing';
import test from 'ava';
import {SuspectReporter} from './suspect-reporter.js';

const [first, second] = ['10.0.0.1', '10.0.0.2'] as InstanceId[];

/** Reports to control instances that answer where `answers` says so. */
function startReporter(answers: (to: InstanceId) => boolean = () => true) {
	const book = new SuspectBook();
	const told: string[] = [];
	const reporter = new SuspectReporter({
		book,
		async tell(to, {records}) {
			told.push(`${to} ${records.map(({fingerprint, ends}) => `${fingerprint}:${ends.length}`).join(',')}`);
			await Promise.resolve();
			return answers(to);
		},
	});
	return {book, told, reporter};
}

function noteEnd(book: SuspectBook, {fingerprint, process}: {readonly fingerprint: string; readonly process: string}): RequestFingerprint {
	book.noteEnd(fingerprint as RequestFingerprint, {process, at: 0});
	return fingerprint as RequestFingerprint;
}

async function settled(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

test('what is learned is told at once to each control instance that gives news', t => {
	const {book, told, reporter} = startReporter();
	reporter.hear(first!, 'one');
	reporter.hear(second!, 'one');
	reporter.note(noteEnd(book, {fingerprint: 'f1', process: 'a'}));
	t.deepEqual(told, ['10.0.0.1 f1:1', '10.0.0.2 f1:1']);
});

test('what is learned during a message goes with the next one', async t => {
	const {book, told, reporter} = startReporter();
	reporter.hear(first!, 'one');
	for (const fingerprint of ['f1', 'f2', 'f3']) {
		reporter.note(noteEnd(book, {fingerprint, process: 'a'}));
	}

	await settled();
	t.deepEqual(told, ['10.0.0.1 f1:1', '10.0.0.1 f2:1,f3:1']);
});

test('a control instance that did not answer, or started again, is told all that concerns others with its next news', async t => {
	let answers = false;
	const {book, told, reporter} = startReporter(() => answers);
	reporter.hear(first!, 'one');
	noteEnd(book, {fingerprint: 'f1', process: 'a'});
	reporter.note(noteEnd(book, {fingerprint: 'f1', process: 'b'}));
	await settled();
	answers = true;
	reporter.hear(first!, 'one');
	await settled();
	reporter.hear(first!, 'one');
	reporter.hear(first!, 'two');
	await settled();
	t.deepEqual(told, ['10.0.0.1 f1:2', '10.0.0.1 f1:2', '10.0.0.1 f1:2']);
});
