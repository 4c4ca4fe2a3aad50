import {Buffer} from 'node:buffer';
import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {decodeAnnouncement} from './decode-announcement.js';

const valid = {
	service: 'models', address: '10.0.0.9:8080', zone: 'hall-a', version: 'v1', slots: 64, state: 'ready', coldRemainingMs: 0, seq: 4, born: 1_790_000_000_000,
};

function problemOf(body: unknown): string | undefined {
	return decodeAnnouncement('i-1', Buffer.from(JSON.stringify(body))).swap().map(({message}) => message).toMaybe().extract();
}

test('an announcement is decoded into a server record', t => {
	t.like(decodeAnnouncement('i-1', Buffer.from(JSON.stringify(valid))).extract(), {
		id: 'i-1', service: 'models', host: '10.0.0.9', port: 8080, slots: 64, state: 'ready', sequence: 4, startedAt: 1_790_000_000_000, isSilent: false,
	});
	t.is(problemOf({...valid, born: undefined}), undefined);
});

test('an announcement with a missing or mistyped field is refused, and the message names the field', t => {
	for (const field of ['service', 'address', 'zone', 'version', 'slots', 'state', 'seq'] as const) {
		for (const value of [undefined, null, [], {}, true, -1, '']) {
			t.regex(problemOf({...valid, [field]: value}) ?? '', new RegExp(`^${field}: `, 'v'));
		}
	}

	for (const born of [null, '1790000000000', 1.5, -1, {}]) {
		t.regex(problemOf({...valid, born}) ?? '', /^born: /v);
	}
});

test('an announcement with an unknown state, an invalid address or no server id is refused', t => {
	t.regex(problemOf({...valid, state: 'gone'}) ?? '', /^state: /v);
	for (const address of ['10.0.0.9', '10.0.0.9:', ':8080', '10.0.0.9:0', '10.0.0.9:70000', '10.0.0.9:80a', '10.0.0.9 :80']) {
		t.regex(problemOf({...valid, address}) ?? '', /^address: /v);
	}

	t.true(decodeAnnouncement('', Buffer.from(JSON.stringify(valid))).isLeft());
});

testProp('arbitrary bytes are either decoded or refused as malformed', [fc.uint8Array()], (t, bytes) => {
	const decoded = decodeAnnouncement('i-1', bytes);
	t.true(decoded.isRight() || decoded.swap().unsafeCoerce().kind === 'malformed-request');
});

testProp('arbitrary JSON in place of a field never results in a mistyped record', [fc.constantFrom(...Object.keys(valid)), fc.jsonValue()], (t, field, value) => {
	const decoded = decodeAnnouncement('i-1', Buffer.from(JSON.stringify({...valid, [field]: value})));
	decoded.ifRight(record => {
		t.true(Number.isInteger(record.port) && record.port > 0 && record.host !== '');
		t.true(Number.isInteger(record.slots) && record.slots > 0);
		t.true(Number.isInteger(record.sequence));
		t.true(record.startedAt === undefined || Number.isInteger(record.startedAt));
		t.true(['ready', 'draining'].includes(record.state));
		t.true([record.service, record.zone, record.version].every(text => typeof text === 'string' && text !== ''));
	});
	t.pass();
});
