import test from 'ava';
import {SecondSendAllowance} from './second-send-allowance.js';

const servers = ['i-1', 'i-2', 'i-3'];

type Sends = {
	readonly server: string;
	readonly now: number;
	readonly count: number;
};

function recordSends(allowance: SecondSendAllowance, {server, now, count}: Sends): void {
	for (let index = 0; index < count; index++) {
		allowance.recordSend('labels', {server, now});
	}
}

function recordLate(allowance: SecondSendAllowance, {server, now, count}: Sends): void {
	for (let index = 0; index < count; index++) {
		allowance.recordLate('labels', {server, now});
	}
}

/** Returns how many of 100 second sends beside a server are allowed. */
function countAllowed(allowance: SecondSendAllowance, {server, now}: Omit<Sends, 'count'>): number {
	let allowed = 0;
	while (allowed < 100 && allowance.allows('labels', {server, now})) {
		allowance.withdraw('labels', {server, now});
		allowed++;
	}

	return allowed;
}

/** Returns an allowance after 100 sends to each server. */
function busyAllowance(): SecondSendAllowance {
	const allowance = new SecondSendAllowance();
	for (const server of servers) {
		recordSends(allowance, {server, now: 0, count: 100});
	}

	return allowance;
}

test('sends that are late at every server do not use up what the others have earned', t => {
	const allowance = busyAllowance();
	for (const server of servers) {
		recordLate(allowance, {server, now: 0, count: 6});
	}

	t.is(countAllowed(allowance, {server: 'i-1', now: 0}), 1);
});

test('a share of all sends may be sent twice beside the one server that is late', t => {
	const allowance = busyAllowance();
	recordLate(allowance, {server: 'i-1', now: 0, count: 6});
	recordLate(allowance, {server: 'i-2', now: 0, count: 1});
	t.is(countAllowed(allowance, {server: 'i-1', now: 0}), 10);
});

test('a server with fewer sends or fewer late ones than others is not later than they are', t => {
	const allowance = busyAllowance();
	recordSends(allowance, {server: 'i-4', now: 0, count: 10});
	recordLate(allowance, {server: 'i-1', now: 0, count: 6});
	recordLate(allowance, {server: 'i-4', now: 0, count: 1});
	t.is(countAllowed(allowance, {server: 'i-1', now: 0}), 1);
	t.is(countAllowed(allowance, {server: 'i-4', now: 0}), 0);
});

test('three late sends, or late sends without other servers, say nothing about a server', t => {
	const few = busyAllowance();
	recordLate(few, {server: 'i-1', now: 0, count: 3});
	t.is(countAllowed(few, {server: 'i-1', now: 0}), 1);
	const alone = new SecondSendAllowance();
	recordSends(alone, {server: 'i-1', now: 0, count: 100});
	recordLate(alone, {server: 'i-1', now: 0, count: 6});
	t.is(countAllowed(alone, {server: 'i-1', now: 0}), 1);
});

test('what is late is forgotten after the window', t => {
	const allowance = busyAllowance();
	recordLate(allowance, {server: 'i-1', now: 0, count: 6});
	t.true(allowance.allows('labels', {server: 'i-1', now: 4000}));
	t.is(countAllowed(allowance, {server: 'i-1', now: 10_000}), 1);
});

test('second sends go on while half of them are answered first', t => {
	const allowance = busyAllowance();
	for (let index = 0; index < 40; index++) {
		// Their share of all sends limits those that are answered later.
		recordSends(allowance, {server: 'i-2', now: 0, count: 10});
		t.true(allowance.allows('labels', {server: 'i-1', now: 0}), `the second send ${index}`);
		allowance.withdraw('labels', {server: 'i-1', now: 0});
		if (index % 2 === 0) {
			allowance.recordWorthIt('labels', 0);
		}
	}
});

test('a request whose time runs out may be sent again within the share of all sends', t => {
	const allowance = busyAllowance();
	t.is(countAllowed(allowance, {server: 'i-1', now: 0}), 1);
	t.true(allowance.allowsLast('labels', 0));
	for (let index = 0; index < 9; index++) {
		allowance.withdraw('labels', {server: 'i-1', now: 0});
	}

	t.false(allowance.allowsLast('labels', 0));
});

test('with time alone, one second send is allowed each ten seconds', t => {
	const allowance = busyAllowance();
	t.is(countAllowed(allowance, {server: 'i-1', now: 0}), 1);
	t.is(countAllowed(allowance, {server: 'i-1', now: 9000}), 0);
	t.is(countAllowed(allowance, {server: 'i-1', now: 10_001}), 1);
	t.is(countAllowed(allowance, {server: 'i-1', now: 60_000}), 1);
});

test('while sends are late at several servers, time allows no second send', t => {
	const allowance = busyAllowance();
	t.is(countAllowed(allowance, {server: 'i-1', now: 0}), 1);
	for (const server of servers) {
		recordLate(allowance, {server, now: 1, count: 13});
	}

	// 39 late sends earn one, and nearly the next one.
	t.is(countAllowed(allowance, {server: 'i-1', now: 1}), 1);
	t.is(countAllowed(allowance, {server: 'i-1', now: 9000}), 0);
	t.is(countAllowed(allowance, {server: 'i-1', now: 20_000}), 1);
});

/** Returns how long sends take while time adds to the allowance, in milliseconds. */
function timeSends(serverCount: number): number {
	const allowance = new SecondSendAllowance();
	for (let index = 0; index < serverCount; index++) {
		recordSends(allowance, {server: `i-${index}`, now: 0, count: 1});
	}

	countAllowed(allowance, {server: 'i-1', now: 0});
	const startedAt = performance.now();
	recordSends(allowance, {server: 'i-1', now: 1, count: 5000});
	return performance.now() - startedAt;
}

test('a send takes no longer beside many servers while time adds to the allowance', t => {
	const [few, many] = [2, 5000].map(serverCount => Math.min(...Array.from({length: 3}, () => timeSends(serverCount))));
	t.true(many! < 20 * few!, `${many!.toFixed(1)} ms beside many servers, ${few!.toFixed(1)} ms beside few`);
});

test('late sends at a single server do not stop the second sends that time allows', t => {
	const allowance = busyAllowance();
	t.is(countAllowed(allowance, {server: 'i-2', now: 0}), 1);
	recordLate(allowance, {server: 'i-1', now: 0, count: 12});
	t.is(countAllowed(allowance, {server: 'i-2', now: 5000}), 1);
});

test('a number of late sends earns a second send by itself', t => {
	const allowance = busyAllowance();
	t.is(countAllowed(allowance, {server: 'i-1', now: 0}), 1);
	for (const server of servers) {
		recordLate(allowance, {server, now: 0, count: 7});
	}

	t.is(countAllowed(allowance, {server: 'i-1', now: 0}), 1);
});

test('a bounded number of keys is kept', t => {
	const allowance = new SecondSendAllowance({maximumKeys: 2});
	for (const key of ['first', 'second', 'third']) {
		t.true(allowance.allows(key, {server: 'i-1', now: 0}));
		allowance.withdraw(key, {server: 'i-1', now: 0});
	}

	t.true(allowance.allows('first', {server: 'i-1', now: 0}));
	t.false(allowance.allows('third', {server: 'i-1', now: 0}));
});

test('a second send that is not made gives its charge back', t => {
	const allowance = busyAllowance();
	const send = {server: 'i-1', now: 0};
	allowance.withdraw('labels', send);
	t.false(allowance.allows('labels', send));
	allowance.restore('labels', send);
	t.is(countAllowed(allowance, send), 1);
});
