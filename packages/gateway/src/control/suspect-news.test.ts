import {type InstanceId, type RequestFingerprint} from '@valehitch/core';
import {type SuspectRecord} from '@valehitch/routing';
import test from 'ava';
import {type PeerMessage, type SuspectsMessage} from './peer-message.js';
import {SuspectNews} from './suspect-news.js';

const fingerprint = 'f1' as RequestFingerprint;
const peer = '10.0.0.2' as InstanceId;

function record(processes: readonly string[]): SuspectRecord {
	return {fingerprint, ends: processes.map(process => ({process, at: 0, isCleared: false}))};
}

type NewsOptions = {
	readonly saved?: readonly SuspectRecord[];
	readonly known?: readonly SuspectRecord[];
	/** Whether the disk takes what is written. */
	readonly isDiskTaking?: boolean;
};

function startNews({saved = [], known = [], isDiskTaking = true}: NewsOptions = {}) {
	const sent: PeerMessage[] = [];
	const written: Array<readonly SuspectRecord[]> = [];
	const changes = {count: 0};
	const news = new SuspectNews({
		clock: {now: () => new Date(0)},
		log: ignore,
		others: () => [peer],
		async ask(_to, message): Promise<SuspectsMessage | undefined> {
			sent.push(message);
			return message.type === 'all-suspects' ? {type: 'suspects', records: known, isRelayed: true} : undefined;
		},
		onChange() {
			changes.count++;
		},
		saved: {
			read: async () => saved,
			async write(records) {
				written.push(records);
				return isDiskTaking;
			},
		},
	});
	return {
		news, sent, written, changes,
	};
}

function ignore(): void {
	// Nobody reads it.
}

async function elapsed(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

test('what entry instances tell is passed on together, and what a control instance passed on goes no further', async t => {
	const {news, sent} = startNews();
	news.receive({type: 'suspects', records: [record(['a'])], isRelayed: false});
	news.receive({type: 'suspects', records: [record(['b'])], isRelayed: false});
	news.receive({type: 'suspects', records: [record(['c'])], isRelayed: true});
	await elapsed(60);
	t.deepEqual(sent.map(message => message.type === 'suspects' && message.records.map(({ends}) => ends.length)), [[3]]);
	t.is(news.book.standing(fingerprint, 0), 'quarantined');
	news.receive({type: 'suspects', records: [record(['a'])], isRelayed: false});
	await elapsed(60);
	t.is(sent.length, 1);
	news.stop();
});

test('entry instances that wait are woken for what concerns them only', t => {
	const {news, changes} = startNews();
	news.receive({type: 'suspects', records: [record(['a'])], isRelayed: true});
	t.is(changes.count, 0);
	news.receive({type: 'suspects', records: [record(['b'])], isRelayed: true});
	t.is(changes.count, 1);
});

test('a restarted instance knows what it saved and what the others know', async t => {
	const {news} = startNews({saved: [record(['a', 'b'])], known: [record(['c'])]});
	await news.start();
	await elapsed(20);
	t.is(news.book.standing(fingerprint, 0), 'quarantined');
	news.stop();
});

test('what concerns others is saved as it changes, and not otherwise', async t => {
	const {news, written} = startNews();
	news.receive({type: 'suspects', records: [record(['a'])], isRelayed: true});
	await news.save();
	news.receive({type: 'suspects', records: [record(['b'])], isRelayed: true});
	await news.save();
	await news.save();
	t.deepEqual(written, [[record(['a', 'b'])]]);
});

test('an operator lifts a quarantine everywhere, and learns where there was none', async t => {
	const {news, sent} = startNews();
	t.is(await news.lift(fingerprint), undefined);
	news.receive({type: 'suspects', records: [record(['a', 'b', 'c'])], isRelayed: true});
	t.deepEqual(await news.lift(fingerprint), {isSaved: true});
	t.is(news.book.standing(fingerprint, 0), 'unknown');
	await elapsed(60);
	t.true(sent.some(message => message.type === 'suspects' && message.records.every(({ends}) => ends.every(({isCleared}) => isCleared))));
	news.stop();
});

test('an end that comes while the list is being saved is saved right after it', async t => {
	const {news, written} = startNews();
	news.receive({type: 'suspects', records: [record(['a', 'b'])], isRelayed: true});
	news.receive({type: 'suspects', records: [record(['c'])], isRelayed: true});
	await elapsed(20);
	t.deepEqual(written.map(([saved]) => saved?.ends.length), [2, 3]);
});

test('operators read what the disk holds, and what it did not take says so', async t => {
	const taken = startNews();
	taken.news.receive({type: 'suspects', records: [record(['a', 'b'])], isRelayed: true});
	taken.news.receive({type: 'suspects', records: [record(['c'])], isRelayed: true});
	t.deepEqual(await taken.news.list(), [{...record(['a', 'b', 'c']), isSaved: true}]);
	t.deepEqual(taken.written.at(-1), [record(['a', 'b', 'c'])]);
	const refused = startNews({isDiskTaking: false});
	refused.news.receive({type: 'suspects', records: [record(['a', 'b'])], isRelayed: true});
	t.deepEqual(await refused.news.list(), [{...record(['a', 'b']), isSaved: false}]);
	t.deepEqual(await refused.news.lift(fingerprint), {isSaved: false});
});

test('a control instance that lost its disk learns at the start of another what that one saved', async t => {
	const {news, sent} = startNews({saved: [record(['a', 'b', 'c'])]});
	await news.start();
	t.deepEqual(sent.filter(({type}) => type === 'suspects'), [{type: 'suspects', records: [record(['a', 'b', 'c'])], isRelayed: true}]);
	news.stop();
});
