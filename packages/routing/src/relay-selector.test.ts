import {type InstanceId} from '@valehitch/core';
import test from 'ava';
import {RelaySelector} from './relay-selector.js';

const one = '10.0.0.1' as InstanceId;
const two = '10.0.0.2' as InstanceId;
const candidates = [one, two];
const excluded: ReadonlySet<InstanceId> = new Set();
const opened = {now: 0, told: undefined};

test('the relay with the fewest connections goes first', t => {
	const relays = new RelaySelector({random: () => 0});
	const close = relays.recordOpened(one, opened);
	t.is(relays.choose({candidates, excluded, now: 0}), two);
	relays.recordOpened(two, opened);
	relays.recordOpened(two, opened);
	t.is(relays.choose({candidates, excluded, now: 0}), one);
	close();
	t.is(relays.choose({candidates, excluded: new Set([one]), now: 0}), two);
	t.is(relays.choose({candidates: [], excluded, now: 0}), undefined);
});

test('a relay that says it is loaded by others comes after one that is not, until what it said is old', t => {
	const relays = new RelaySelector({random: () => 0, loadMilliseconds: 1000});
	relays.recordOpened(one, {now: 0, told: 9})();
	relays.recordOpened(two, opened);
	t.is(relays.choose({candidates, excluded, now: 999}), two);
	t.is(relays.choose({candidates, excluded, now: 1000}), one);
});

test('a relay that failed comes last for a time that doubles, until a connection through it opens', t => {
	const relays = new RelaySelector({random: () => 0, initialMilliseconds: 500, maximumMilliseconds: 900});
	const isLast = (now: number): boolean => {
		const close = relays.recordOpened(two, {now, told: 9});
		const chosen = relays.choose({candidates, excluded, now});
		close();
		return chosen === two;
	};

	relays.recordFailure(one, 0);
	t.true(isLast(499));
	t.false(isLast(500));
	relays.recordFailure(one, 500);
	t.true(isLast(1399));
	t.false(isLast(1400));
	relays.recordOpened(one, opened)();
	relays.recordFailure(one, 2000);
	t.false(isLast(2500));
});

test('the relay whose backoff ends first is chosen while all have failed recently, unless others are to go first', t => {
	const relays = new RelaySelector({random: () => 0});
	relays.recordFailure(one, 0);
	relays.recordFailure(two, 100);
	t.is(relays.choose({candidates, excluded, now: 200}), one);
	t.is(relays.choose({candidates, excluded: new Set([one]), now: 200}), two);
	t.is(relays.choose({
		candidates, excluded, now: 200, areFailedExcluded: true,
	}), undefined);
});

test('an instance that is no longer a candidate is forgotten once its connections are closed', t => {
	const relays = new RelaySelector({random: () => 0});
	const close = relays.recordOpened(one, opened);
	relays.recordFailure(one, 0);
	relays.retain([two]);
	const withoutTwo = {
		candidates, excluded: new Set([two]), now: 0, areFailedExcluded: true,
	};
	t.is(relays.choose(withoutTwo), undefined);
	close();
	relays.retain([two]);
	t.is(relays.choose(withoutTwo), one);
});

test('an instance that is cut off itself is chosen after those that have failed recently', t => {
	const relays = new RelaySelector({random: () => 0});
	const three = '10.0.0.3' as InstanceId;
	const choice = {
		candidates: [three, one, two], cutOff: new Set([three]), now: 200, areFailedExcluded: true,
	};
	relays.recordOpened(one, {now: 200, told: 9});
	relays.recordFailure(two, 100);
	t.is(relays.choose({...choice, excluded}), one, 'whatever its load is');
	t.is(relays.choose({...choice, excluded: new Set([one])}), two);
	t.is(relays.choose({...choice, excluded: new Set([one, two])}), three);
	relays.recordFailure(three, 150);
	t.is(relays.choose({...choice, excluded: new Set([one, two])}), undefined);
	t.is(relays.choose({...choice, excluded: new Set([one, two]), areFailedExcluded: false}), three);
});
