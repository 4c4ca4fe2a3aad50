import test from 'ava';
import {type InstanceId, toId} from '@valehitch/core';
import fc from 'fast-check';
import {
	estimate, QualityStore, type QualityDigest, type QualityKey,
} from './mod.js';
import {target, testSeed} from './_test-configuration.js';

const hour = 3_600_000;
const estimateKey: QualityKey = {...target('m', '1'), qualityClass: 'yard/lookup', measure: 'rating'};
const observationsArbitrary = fc.array(fc.record({
	instance: fc.nat(3), value: fc.float({min: 0, max: 1, noNaN: true}), ranAt: fc.integer({min: 0, max: 48 * hour}),
}), {maxLength: 40});

function createStore(name: string): QualityStore {
	return new QualityStore({instance: toId<InstanceId>(name), startedAt: 1});
}

test('sums merged from several instances equal those of one instance, for any order of ratings and digests and with duplicated digests', t => {
	t.notThrows(() => {
		fc.assert(fc.property(observationsArbitrary, fc.array(fc.nat(), {minLength: 6, maxLength: 30}), (drawn, order) => {
			const together = createStore('together');
			const stores = ['a', 'b', 'c', 'd'].map(name => createStore(name));
			const digests: QualityDigest[] = [];
			for (const {instance, value, ranAt} of drawn) {
				stores[instance]?.add({...estimateKey, value, ranAt});
				digests.push(...stores.map(store => store.digest()));
			}

			for (const {value, ranAt} of drawn.toReversed()) {
				together.add({...estimateKey, value, ranAt});
			}

			const merged = createStore('merged');
			const late = order.map(index => digests[index % Math.max(1, digests.length)] ?? createStore('none').digest());
			const newest = stores.map(store => store.digest());
			for (const digest of [...late, ...newest, ...late.toReversed()]) {
				merged.merge(digest);
			}

			const expected = together.sums(estimateKey, 48 * hour);
			const actual = merged.sums(estimateKey, 48 * hour);
			return actual.count === expected.count && Math.abs(actual.weight - expected.weight) < 1e-9 && Math.abs(actual.sum - expected.sum) < 1e-9;
		}), {seed: testSeed, numRuns: 500});
	});
});

test('a late rating is weighted by when its request ran, and estimates from old ratings decay to the listed quality', t => {
	const store = createStore('a');
	store.add({...estimateKey, value: 0, ranAt: 0});
	t.true(Math.abs(store.sums(estimateKey, 6 * hour).weight - 0.5) < 1e-9);
	for (let index = 0; index < 200; index += 1) {
		store.add({...estimateKey, value: 0.3, ranAt: hour});
	}

	const prior = {value: 0.9};
	t.true(store.estimate(estimateKey, {prior, now: hour}).lowerBound < 0.4);
	t.true(store.estimate(estimateKey, {prior, now: 100 * hour}).lowerBound > 0.88);
	t.is(store.evictDecayed(1000 * hour), 1);
	t.is(store.size, 0);
	t.false(store.add({...estimateKey, value: Number.NaN, ranAt: 0}));
	t.false(store.add({...estimateKey, value: 1.5, ranAt: 0}));
});

test('sums over years do not overflow', t => {
	const store = createStore('a');
	for (let day = 0; day < 1000; day += 1) {
		store.add({...estimateKey, value: 0.5, ranAt: day * 24 * hour});
	}

	t.true(Math.abs(store.sums(estimateKey, 999 * 24 * hour).weight - (16 / 15)) < 1e-6);
});

test('the number of entries stays within the maximum', t => {
	const store = new QualityStore({instance: toId<InstanceId>('a'), startedAt: 1, maximumEntries: 10});
	for (let index = 0; index < 50; index += 1) {
		store.add({
			...estimateKey, qualityClass: `yard/${index}`, value: 1, ranAt: 0,
		});
	}

	t.is(store.size, 10);
	t.is(store.digest().entries.length, 10);
});

test('the aggregate of the other instances leaves out the instance itself and replaces the previous one, unless a new aggregator has less weight', t => {
	const leader = createStore('leader');
	const entry = createStore('entry');
	const other = createStore('other');
	const except = {instance: toId<InstanceId>('entry'), startedAt: 1};
	for (const store of [entry, other]) {
		store.add({...estimateKey, value: 0.5, ranAt: 0});
		store.add({...estimateKey, value: 0.5, ranAt: 0});
		leader.merge(store.digest());
	}

	for (let round = 0; round < 3; round += 1) {
		entry.replaceAggregate(leader.aggregateExcept([estimateKey], {except, now: 0}), 0);
		t.is(entry.sums(estimateKey, 0).count, 4);
	}

	const newLeader = createStore('new-leader');
	newLeader.add({...estimateKey, value: 0.5, ranAt: 0});
	entry.replaceAggregate(newLeader.aggregateExcept([estimateKey], {except, now: 0}), 0);
	t.is(entry.sums(estimateKey, 0).count, 4);
	entry.replaceAggregate(newLeader.aggregateExcept([estimateKey], {except, now: 0}), 24 * hour);
	t.is(entry.sums(estimateKey, 0).count, 4);
	newLeader.add({...estimateKey, value: 0.5, ranAt: 24 * hour});
	entry.replaceAggregate(newLeader.aggregateExcept([estimateKey], {except, now: 24 * hour}), 24 * hour);
	t.is(entry.sums(estimateKey, 24 * hour).count, 4);
	t.true(entry.sums(estimateKey, 24 * hour).weight > 1);
});

test('without ratings the bounds equal the listed quality, and with ratings the mean lies between the bounds', t => {
	t.is(estimate(undefined, {value: 0.82}).lowerBound, 0.82);
	t.notThrows(() => {
		fc.assert(fc.property(fc.float({min: 0, max: 1, noNaN: true}), fc.array(fc.double({min: 0, max: 1, noNaN: true}), {minLength: 1}), (value, ratings) => {
			const store = createStore('a');
			for (const rating of ratings) {
				store.add({...estimateKey, value: rating, ranAt: 0});
			}

			const {lowerBound, mean, upperBound} = store.estimate(estimateKey, {prior: {value}, now: 0});
			return lowerBound >= 0 && lowerBound <= mean && mean <= upperBound && upperBound <= 1;
		}), {seed: testSeed});
	});
});
