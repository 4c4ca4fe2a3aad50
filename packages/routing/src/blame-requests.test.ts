import {type RequestFingerprint} from '@valehitch/core';
import test from 'ava';
import {blameRequests, type PartExits, type SuspectedRequest} from './blame-requests.js';
import {promptPartFingerprint} from './prompt-part-fingerprint.js';

type Exits = Readonly<Record<string, number>>;

function request(id: string, exits: Exits, parts: readonly string[] = []): SuspectedRequest {
	return {fingerprint: id as RequestFingerprint, parts: parts.map(part => promptPartFingerprint(part)), exits: new Map(Object.entries(exits))};
}

function part(id: string, exits: Exits): PartExits {
	return {fingerprint: promptPartFingerprint(id), exits: new Map(Object.entries(exits)), wasAnswered: false};
}

/** Returns the requests that are blamed, in whatever order all are given; three exits are enough. */
function blame(requests: readonly SuspectedRequest[], ...parts: readonly PartExits[]): readonly string[] {
	const isProof = ({length}: readonly number[]) => length >= 3;
	const options = {
		parts, threshold: 3, maximumExits: 8, isProof, isPartProof: isProof,
	};
	const orders = [requests, requests.toReversed()].map(order => blameRequests(order, options).map(({fingerprint}) => fingerprint).toSorted());
	return orders[0]!.join(' ') === orders[1]!.join(' ') ? orders[0]! : [];
}

test('a request that was beside a crashing part is not blamed once the part has enough exits without it', t => {
	const beside = request('beside', {a: 0, b: 50, c: 100});
	t.deepEqual(blame([beside], part('crashing', {
		b: 50, c: 100, d: 3000, e: 3200,
	})), ['beside']);
	t.deepEqual(blame([beside], part('crashing', {
		b: 50, c: 100, d: 3000, e: 3200, f: 3400,
	})), []);
});

test('a request that was beside a crashing part is not blamed if the part has more exits shortly after it', t => {
	const beside = request('beside', {a: 0, b: 50, c: 100});
	t.deepEqual(blame([beside], part('crashing', {
		b: 50, c: 100, d: 300, e: 500,
	})), []);
});

test('a crashing request is blamed at its next exit without a part that was at all its exits', t => {
	const beside = part('beside', {a: 0, b: 50, c: 100});
	t.deepEqual(blame([request('crashing', {a: 0, b: 50, c: 100})], beside), []);
	t.deepEqual(blame([request('crashing', {
		a: 0, b: 50, c: 100, d: 150,
	})], beside), ['crashing']);
});

test('requests with the same exits are blamed together, and one whose exits few others explain is not', t => {
	const exits = {a: 0, b: 50, c: 100};
	t.deepEqual(blame([
		request('one', exits),
		request('same', exits),
		request('beside', {b: 50, c: 100, d: 3000}),
		request('other', {d: 3000, e: 3200, f: 3400}),
	]), ['one', 'other', 'same']);
});

test('a crashing request is blamed though a part that many prompts have, and that was answered before, was at all its exits', t => {
	const exits = {a: 0, b: 150, c: 220};
	const popular = {...part('popular', {...exits, d: 300}), wasAnswered: true};
	t.deepEqual(blame([request('crashing', exits, ['own'])], popular, part('own', exits)), ['crashing']);
});

test('a crashing request of which only the latest exits are kept is blamed, not a part of its prompt of which more are kept', t => {
	const all = Object.entries({
		a: 0, b: 200, c: 400, d: 600, e: 800, f: 1000, g: 1200, h: 1400, i: 1600,
	});
	t.deepEqual(blame([request('crashing', Object.fromEntries(all.slice(-8)), ['own'])], part('own', Object.fromEntries(all))), ['crashing']);
});
