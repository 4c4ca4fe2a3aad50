import {failure, type InstanceId} from '@valehitch/core';
import test from 'ava';
import {Left, Right} from 'purify-ts';
import {testConfiguration} from '../configuration/_test-configuration.js';
import {encodeConfiguration} from '../configuration/encode-configuration.js';
import {KnownConfiguration} from './known-configuration.js';

const source = '10.0.0.1' as InstanceId;
const documentOf = (version: number, text = '{}') => ({version, document: `${version}${text}`});

function createKnown() {
	const adopted: number[] = [];
	const known = new KnownConfiguration({
		log() {
			// Nothing is asserted of the log.
		},
		parse: document => document.includes('unreadable')
			? Left(failure('invalid-configuration', 'unreadable'))
			: Right(testConfiguration({version: Number.parseInt(document, 10)})),
		onAdopted({version}) {
			adopted.push(version);
		},
	});
	return {known, adopted};
}

test('changes are applied to the version that they are described from, also if another reply came first', t => {
	const {known, adopted} = createKnown();
	known.update({configuration: documentOf(1)}, source);
	known.update({configuration: undefined, encodedConfiguration: encodeConfiguration(documentOf(2), documentOf(1))}, source);
	t.true(known.update({configuration: undefined, encodedConfiguration: encodeConfiguration(documentOf(3), documentOf(1))}, source));
	t.true(known.update({configuration: undefined, encodedConfiguration: encodeConfiguration(documentOf(2), documentOf(1))}, source));
	t.deepEqual(adopted, [1, 2, 3]);
	t.is(known.version, 3);
});

test('changes whose base is not held are no news, and the configuration in use is not confirmed by them', t => {
	const {known} = createKnown();
	known.update({configuration: documentOf(1)}, source);
	t.false(known.update({configuration: undefined, encodedConfiguration: encodeConfiguration(documentOf(9), documentOf(8))}, source));
	t.is(known.version, 1);
});

test('changes that do not fit are followed by a whole document', t => {
	const {known, adopted} = createKnown();
	known.update({configuration: documentOf(1, ';}{a}')}, source);
	t.false(known.update({configuration: undefined, encodedConfiguration: encodeConfiguration(documentOf(2, ';}{b}'), documentOf(1, ';}{b}'))}, source));
	t.is(known.version, undefined);
	t.true(known.update({configuration: undefined, encodedConfiguration: encodeConfiguration(documentOf(2, ';}{b}'), undefined)}, source));
	t.is(known.version, 2);
	t.deepEqual(adopted, [1, 2]);
});

test('a configuration that cannot be read is asked for once, and confirms nothing', t => {
	const {known, adopted} = createKnown();
	known.update({configuration: documentOf(1)}, source);
	t.false(known.update({configuration: documentOf(2, 'unreadable')}, source));
	t.is(known.version, 2);
	t.false(known.update({configuration: undefined}, source));
	t.deepEqual(adopted, [1]);
});
