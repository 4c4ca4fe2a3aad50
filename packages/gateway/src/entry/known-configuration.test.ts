import {setTimeout as delay} from 'node:timers/promises';
import {failure, type InstanceId} from '@valehitch/core';
import test from 'ava';
import {Left, Right} from 'purify-ts';
import {testConfiguration} from '../configuration/_test-configuration.js';
import {encodeConfiguration, type EncodedConfiguration} from '../configuration/encode-configuration.js';
import {type ConfigurationDocument} from '../control/gateway-state.js';
import {KnownConfiguration} from './known-configuration.js';

const source = '10.0.0.1' as InstanceId;
const documentOf = (version: number, text = '{}') => ({version, document: `${version}${text}`});

/** Creates a configuration whose documents take some time to parse; waits end when the test says so. */
function createKnown({parseMilliseconds = 0} = {}) {
	let now = 0;
	const adopted: number[] = [];
	const confirmed: number[] = [];
	const waits: Array<{readonly milliseconds: number; readonly end: () => void}> = [];
	const known = new KnownConfiguration({
		clock: {now: () => new Date(0), monotonic: () => now},
		log() {
			// Nothing is asserted of the log.
		},
		parse(document) {
			now += parseMilliseconds;
			return document.includes('unreadable')
				? Left(failure('invalid-configuration', 'unreadable'))
				: Right(testConfiguration({version: Number.parseInt(document, 10)}));
		},
		onAdopted({version}) {
			adopted.push(version);
		},
		onConfirmed(at) {
			confirmed.push(at);
		},
		wait: async milliseconds => new Promise(resolve => {
			waits.push({milliseconds, end: resolve});
		}),
	});
	return {
		known, adopted, confirmed, waits,
		advance(milliseconds: number) {
			now += milliseconds;
		},
		/** Applies a reply that confirms its configuration as of a time. */
		update(reported: ConfigurationDocument | EncodedConfiguration | undefined, confirmedAt = 0) {
			const reply = reported === undefined || 'document' in reported
				? {configuration: reported}
				: {configuration: undefined, encodedConfiguration: reported};
			known.update(reply, {source, confirmedAt});
		},
	};
}

test('changes are applied to the version that they are described from, also if another reply came first', t => {
	const {known, adopted, confirmed, update} = createKnown();
	update(documentOf(1), 10);
	update(encodeConfiguration(documentOf(2), documentOf(1)), 20);
	update(encodeConfiguration(documentOf(3), documentOf(1)), 30);
	update(encodeConfiguration(documentOf(2), documentOf(1)), 25);
	t.deepEqual(adopted, [1, 2, 3]);
	t.deepEqual(confirmed, [10, 20, 30, 25]);
	t.is(known.version, 3);
});

test('changes whose base is not held are no news, and the configuration in use is not confirmed by them', t => {
	const {known, confirmed, update} = createKnown();
	update(documentOf(1), 10);
	update(encodeConfiguration(documentOf(9), documentOf(8)), 20);
	t.is(known.version, 1);
	t.deepEqual(confirmed, [10]);
});

test('changes that do not fit are followed by a whole document', t => {
	const {known, adopted, update} = createKnown();
	update(documentOf(1, ';}{a}'));
	update(encodeConfiguration(documentOf(2, ';}{b}'), documentOf(1, ';}{b}')));
	t.is(known.version, undefined);
	update(encodeConfiguration(documentOf(2, ';}{b}'), undefined));
	t.is(known.version, 2);
	t.deepEqual(adopted, [1, 2]);
});

test('a configuration that cannot be read is asked for once, and confirms nothing', t => {
	const {known, adopted, confirmed, update} = createKnown();
	update(documentOf(1), 10);
	update(documentOf(2, 'unreadable'), 20);
	t.is(known.version, 2);
	update(undefined, 30);
	t.deepEqual(adopted, [1]);
	t.deepEqual(confirmed, [10]);
});

test('a burst of changes that take long to parse leaves most of the time to requests, and the newest one is adopted', async t => {
	const {known, adopted, confirmed, waits, update} = createKnown({parseMilliseconds: 50});
	for (let version = 1; version <= 5; version++) {
		update(documentOf(version), version);
	}

	t.deepEqual(adopted, [1]);
	t.is(known.version, 5);
	t.deepEqual(waits.map(({milliseconds}) => milliseconds), [150]);
	t.deepEqual(confirmed, [1], 'Versions that are not in use are not confirmed');
	waits[0]!.end();
	await delay(0);
	t.deepEqual(adopted, [1, 5]);
	t.deepEqual(confirmed, [1, 2, 3, 4, 5]);
});

test('a pause between two adoptions has a bound', t => {
	const {waits, update} = createKnown({parseMilliseconds: 700});
	update(documentOf(1));
	update(documentOf(2));
	t.is(waits[0]!.milliseconds, 500);
});

test('a version is not adopted again, nor an older one, by a wait that ends late', async t => {
	const {adopted, waits, update, advance} = createKnown({parseMilliseconds: 50});
	update(documentOf(1));
	update(documentOf(2));
	advance(1000);
	update(documentOf(3));
	waits[0]!.end();
	await delay(0);
	t.deepEqual(adopted, [1, 3]);
});
