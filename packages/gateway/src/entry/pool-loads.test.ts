import {setImmediate} from 'node:timers/promises';
import {type InstanceId, type ServerId, type ZoneId} from '@valehitch/core';
import test from 'ava';
import {MessageReaders} from '../control/message-readers.js';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {controlId, DigestNetwork, type TestDelivery} from './_test-digest-network.js';
import {ignore} from './_test-run.js';
import {PoolLoads} from './pool-loads.js';
import {type ServerLoad} from './tracked-server.js';

/** The time in which all parts of the digest have been reported once, in milliseconds. */
const settleMilliseconds = 1500;
/** The time in which a failed control instance is left and its sums expire, in milliseconds. */
const failoverMilliseconds = 3500;
const servers = 42;
const [firstControl, secondControl] = [controlId(1), controlId(2)];

/** Returns the largest relative difference between the work that entry instances see at a server and what there is. */
function errorOf(network: DigestNetwork): number {
	let largest = 0;
	for (const server of network.servers) {
		const truth = network.readingAt(server);
		for (const {pool} of network.entries) {
			largest = Math.max(largest, Math.abs((pool.picture().workAt(server)?.reading ?? 0) - truth) / truth);
		}
	}

	return largest;
}

for (const entries of [1, 7]) {
	test(`${entries} entry instances use the loads of their peers and report nothing`, async t => {
		const network = new DigestNetwork({entries, servers});
		await network.run(settleMilliseconds);
		t.is(network.bytes.size, 0);
		t.deepEqual(network.lines, []);
		for (const {pool} of network.entries) {
			t.false(pool.usesDigest);
			t.is(pool.peerLoadAt(network.servers[0]!), -1);
			t.is(pool.othersAge, 0);
			t.is(pool.slownessOf(network.servers[0]!), undefined);
			t.is(pool.picture().age, Number.POSITIVE_INFINITY);
		}
	});
}

for (const entries of [84, 370]) {
	test(`${entries} entry instances each see the work of all others, and their own as it is now`, async t => {
		const network = new DigestNetwork({entries, servers});
		await network.run(settleMilliseconds);
		t.is(errorOf(network), 0);
		const [{pool, loads}] = network.entries as [DigestNetwork['entries'][number]];
		const [server] = network.servers as [DigestNetwork['servers'][number]];
		const before = pool.picture().workAt(server)!.reading;
		loads.set(server, {reading: loads.get(server)!.reading + 1000, streams: 3});
		t.is(pool.picture().workAt(server)!.reading, before + 1000);
		t.is(pool.picture().workAt('unknown' as typeof server), undefined);
	});

	test(`the load and the speed of a server are each told with one reading of the clock at ${entries} entry instances`, async t => {
		const network = new DigestNetwork({entries, servers});
		await network.run(settleMilliseconds);
		const [{pool}] = network.entries as [DigestNetwork['entries'][number]];
		const [server] = network.servers as [DigestNetwork['servers'][number]];
		const picture = pool.picture();
		for (const ask of [() => pool.peerLoadAt(server), () => pool.slownessOf(server), () => picture.workAt(server)]) {
			const before = network.clockReadings;
			ask();
			t.is(network.clockReadings - before, 1);
		}
	});

	test(`with a third of the messages of ${entries} entry instances lost, most have a picture, and it is right to a tenth`, async t => {
		const network = new DigestNetwork({entries, servers, lossRate: 1 / 3});
		await network.run(settleMilliseconds);
		let [withPicture, seen, asked] = [0, 0, 0];
		const [server] = network.servers as [DigestNetwork['servers'][number]];
		await network.run(5000, () => {
			for (const {pool} of network.entries) {
				asked++;
				withPicture += pool.usesDigest ? 1 : 0;
				seen += pool.usesDigest ? pool.picture().workAt(server)!.reading / network.readingAt(server) : 0;
			}
		});
		t.log(`with a picture: ${(withPicture / asked).toFixed(3)}, seen of what there is: ${(seen / withPicture).toFixed(3)}`);
		// Of the three or more reports in the life of a picture, all of which go unanswered at (5/9)^3, one has to be answered.
		t.true(withPicture / asked > 1 - ((5 / 9) ** 3));
		t.true(Math.abs((seen / withPicture) - 1) < 0.1);
	});
}

test('repeated and reordered messages leave the picture right', async t => {
	const network = new DigestNetwork({
		entries: 84, servers, repeatRate: 0.5, maximumDelay: 200,
	});
	await network.run(2 * settleMilliseconds);
	t.is(errorOf(network), 0);
});

const failures: ReadonlyArray<{readonly name: string; readonly isBlocked: (delivery: TestDelivery) => boolean}> = [
	{name: 'a control instance that is gone for 3 s and comes back without memory', isBlocked: ({from, to}) => from === firstControl || to === firstControl},
	{name: 'a control instance that is cut from the others for 3 s', isBlocked: ({from, to}) => isControl(from) && isControl(to) && (from === firstControl || to === firstControl)},
	{
		name: 'a third of the entry instances that are cut from two of three control instances for 3 s',
		isBlocked: ({from, to}) => [firstControl, secondControl].includes(to) && Number(from.split('.').at(-1)) % 3 === 0,
	},
];

for (const {name, isBlocked} of failures) {
	test(`${name}: the picture is never much more than there is, and right soon after`, async t => {
		const [start, end] = [settleMilliseconds, settleMilliseconds + 3000];
		const network = new DigestNetwork({entries: 84, servers, isBlocked: delivery => delivery.now > start && delivery.now <= end && isBlocked(delivery)});
		const [server] = network.servers as [DigestNetwork['servers'][number]];
		await network.run(start);
		let [most, lapsed, asked] = [0, 0, 0];
		await network.run(end - start, () => {
			for (const {pool} of network.entries) {
				asked++;
				lapsed += pool.usesDigest ? 0 : 1;
				most = Math.max(most, pool.picture().workAt(server)!.reading / network.readingAt(server));
			}
		});
		t.log(`most that was seen of what there is: ${most.toFixed(2)}, without a picture: ${(lapsed / asked).toFixed(3)}`);
		t.true(most <= 2, 'work that is reported elsewhere counts twice at most');
		network.restartControl(firstControl, 'two');
		await network.run(failoverMilliseconds);
		t.is(errorOf(network), 0);
		t.true(network.entries.every(({pool}) => pool.usesDigest));
	});
}

test('without any control instance for 3 s, the loads of the peers are used, and that is logged', async t => {
	const network = new DigestNetwork({entries: 84, servers, isBlocked: ({now}) => now > settleMilliseconds && now <= settleMilliseconds + 3000});
	await network.run(settleMilliseconds);
	t.true(network.entries.every(({pool}) => pool.usesDigest));
	await network.run(2500);
	t.true(network.entries.every(({pool}) => !pool.usesDigest && pool.peerLoadAt(network.servers[0]!) === -1));
	t.is(network.lines.filter(kind => kind === 'pool-digest-lost').length, 84);
	await network.run(3000);
	t.is(errorOf(network), 0);
	t.is(network.lines.filter(kind => kind === 'pool-digest-regained').length, 2 * 84);
});

test('control instances of the version before get no reports', async t => {
	const network = new DigestNetwork({entries: 84, servers});
	for (const {controls} of network.entries) {
		controls.record = (id: InstanceId) => {
			controls.forget(id);
		};
	}

	await network.run(settleMilliseconds);
	t.is(network.bytes.size, 0);
	t.true(network.entries.every(({pool}) => !pool.usesDigest));
});

test('the bytes of an entry instance do not grow with the number of instances, and end when it is idle', async t => {
	const rates = new Map<number, number>();
	for (const entries of [84, 370]) {
		const network = new DigestNetwork({entries, servers});
		await network.run(settleMilliseconds);
		network.bytes.clear();
		await network.run(3000, () => {
			for (const {pool} of network.entries) {
				pool.recordChange(1);
			}
		});
		const [entry] = network.entries as [DigestNetwork['entries'][number]];
		rates.set(entries, network.bytes.get(entry.id)! / 3);
		t.log(`${entries} entry instances, bytes a second: ${Math.round(rates.get(entries)!)} an entry instance, ${Math.round(network.bytes.get(firstControl)! / 3)} a control instance`);
		for (const {loads} of network.entries) {
			loads.clear();
		}

		await network.run(5000);
		network.bytes.clear();
		await network.run(1000);
		t.is(network.bytes.size, 0);
	}

	// A report and its reply have one row a server: an id, and four numbers of at most five bytes each.
	const rowBytes = 1 + 1 + 16 + (4 * 5);
	const reportsPerSecond = 1000 / 112.5;
	for (const rate of rates.values()) {
		t.true(rate <= reportsPerSecond * 2 * ((servers * rowBytes) + 200));
	}
});

test('an instance hears what the others hold back, by priority, soon after it changes', async t => {
	const network = new DigestNetwork({entries: 84, servers});
	const [first, second, third] = network.entries as [DigestNetwork['entries'][number], DigestNetwork['entries'][number], DigestNetwork['entries'][number]];
	first.held.push({priority: 0, milliseconds: 300}, {priority: 2, milliseconds: 50});
	second.held.push({priority: 0, milliseconds: 200});
	await network.run(settleMilliseconds);
	t.deepEqual(first.pool.picture().heldByOthers, [{priority: 0, milliseconds: 200}]);
	t.deepEqual(third.pool.picture().heldByOthers.toSorted((one, other) => one.priority - other.priority), [{priority: 0, milliseconds: 500}, {priority: 2, milliseconds: 50}]);
	first.held.length = 0;
	await network.run(settleMilliseconds);
	t.deepEqual(third.pool.picture().heldByOthers, [{priority: 0, milliseconds: 200}]);
});

test('the times of all entry instances tell slow servers, and are forgotten with the process of a server', async t => {
	const network = new DigestNetwork({entries: 84, servers});
	const [slow, quick] = network.servers as [DigestNetwork['servers'][number], DigestNetwork['servers'][number]];
	await network.run(settleMilliseconds, () => {
		for (const {pool} of network.entries) {
			for (const server of network.servers) {
				pool.recordSample(server, {observed: server === slow ? 300 : 100, expected: 100});
			}
		}
	});
	const [{pool}] = network.entries as [DigestNetwork['entries'][number]];
	t.true(pool.slownessOf(slow)! > 2.5 && pool.slownessOf(slow)! < 3.1);
	t.true(pool.slownessOf(quick)! > 0.9 && pool.slownessOf(quick)! < 1.1);
	for (const entry of network.entries) {
		entry.pool.discardServer(slow);
	}

	t.is(pool.slownessOf(slow), 1);
	await network.run(settleMilliseconds);
	t.is(pool.slownessOf(slow), 1);
});

/** Creates the loads of an instance whose reports are answered at once. */
function createPool(clock: {readonly monotonic: () => number}, ownLoads: ReadonlyArray<readonly [ServerId, ServerLoad]>): PoolLoads {
	const controls = new MessageReaders();
	controls.record(firstControl, {canRead: true});
	return new PoolLoads({
		clock,
		random: () => 0.5,
		zone: 'hall-a' as ZoneId,
		run: 'one',
		log: ignore,
		metrics: createGatewayMetrics(),
		controls,
		exchange: {recordChange: ignore, peerLoadAt: () => 0, discardServer: ignore},
		isLarge: () => true,
		ownLoads: () => ownLoads,
		ownLoadAt: () => undefined,
		ask: async () => ({rows: [], held: [], age: 100}),
	});
}

test('an instance whose requests all end between two reports has the digest', async t => {
	let now = 0;
	const pool = createPool({monotonic: () => now}, []);
	pool.flush();
	await setImmediate();
	t.false(pool.usesDigest);
	for (; now < 6000; now += 80) {
		pool.recordChange(1);
		pool.recordChange(-1);
		pool.flush();
		await setImmediate();
		t.true(pool.usesDigest, `at ${now}`);
	}
});

test('the age of the loads is never infinite when the digest expires while it is read', async t => {
	let now = 0;
	let step = 0;
	const reads = () => {
		now += step;
		return now;
	};

	const pool = createPool({monotonic: reads}, [['server-1' as ServerId, {reading: 100, streams: 0}]]);
	pool.flush();
	await setImmediate();
	now = 1400;
	t.is(pool.othersAge, 1500);
	step = 1;
	for (now = 1490; now < 1510;) {
		const before = now;
		t.true(Number.isFinite(pool.othersAge), `at ${before}`);
		now = before + 1;
	}
});

test('servers whose processes have ended are remembered only as long as their rows are passed over', async t => {
	const network = new DigestNetwork({entries: 8, servers});
	const [{pool}] = network.entries as [DigestNetwork['entries'][number]];
	for (let index = 0; index < 100; index++) {
		pool.discardServer(`ended-${index}` as ServerId);
	}

	t.is(pool.discardedCount, 100);
	await network.run(settleMilliseconds);
	pool.discardServer('ended-100' as ServerId);
	t.is(pool.discardedCount, 1);
});

function isControl(id: InstanceId): boolean {
	return id.startsWith('10.2.');
}
