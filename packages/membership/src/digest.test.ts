import test from 'ava';
import fc from 'fast-check';
import {
	type Announcement, type InstanceId, type ServerId, toId, type ZoneId,
} from '@valehitch/core';
import {Digest} from './digest.js';
import {DigestExchange} from './digest-exchange.js';
import {joinMembers, type MemberRecord} from './member-record.js';
import {joinServers, type ServerRecord, serverState} from './server-record.js';

const seed = 41;
const server = toId<ServerId>('engine-a');
const zone = toId<ZoneId>('zone-a');
const instances = fc.constantFrom('entry-a', 'entry-b', 'entry-c').map(name => toId<InstanceId>(name));
const small = fc.nat(3);

const announcements: fc.Arbitrary<Announcement> = fc.record({
	server: fc.constant(server),
	zone: fc.constant(zone),
	kind: fc.constant('engine'),
	address: fc.constantFrom('http://127.0.0.1:1', 'http://127.0.0.1:2'),
	models: fc.constant([]),
	capacity: fc.constantFrom(4, 8),
	active: small,
	checksFencing: fc.boolean(),
	shuttingDown: fc.boolean(),
	sequence: small,
	startedAt: small,
});

const serverRecords: fc.Arbitrary<ServerRecord> = fc.record({announcement: announcements, holder: instances, lost: fc.boolean()});
const memberRecords: fc.Arbitrary<MemberRecord> = fc.record({
	instance: fc.constant(toId<InstanceId>('entry-a')),
	zone: fc.constant(zone),
	region: fc.constant('north'),
	host: fc.constant('127.0.0.1'),
	port: small,
	startedAt: small,
	sequence: small,
	state: fc.constantFrom('joined', 'draining', 'suspect', 'lost'),
});

function checkJoin<Item>(records: fc.Arbitrary<Item>, join: (known: Item, next: Item) => Item): fc.RunDetails<[Item, Item, Item]> {
	return fc.check(fc.property(records, records, records, (one, two, three) => {
		const same = (left: Item, right: Item): boolean => JSON.stringify(left) === JSON.stringify(right);
		const both = join(one, two);
		return same(both, join(two, one))
			&& same(join(both, three), join(one, join(two, three)))
			&& join(one, structuredClone(one)) === one
			&& join(both, one) === both;
	}), {seed, numRuns: 20_000});
}

test('joining server records is commutative, associative and idempotent', t => {
	const details = checkJoin(serverRecords, joinServers);
	t.falsy(details.counterexample);
});

test('joining member records is commutative, associative and idempotent', t => {
	const details = checkJoin(memberRecords, joinMembers);
	t.falsy(details.counterexample);
});

test('the later start wins, and no order of arrival brings back a drained or lost server', t => {
	fc.assert(fc.property(fc.array(serverRecords, {minLength: 1, maxLength: 8}), records => {
		let joined = records[0]!;
		for (const record of records) {
			joined = joinServers(joined, record);
		}

		const startedAt = Math.max(...records.map(({announcement}) => announcement.startedAt));
		const lastStart = records.filter(({announcement}) => announcement.startedAt === startedAt);
		const sequence = Math.max(...lastStart.map(({announcement}) => announcement.sequence));
		const isDrained = lastStart.some(({announcement}) => announcement.shuttingDown);
		const isLost = lastStart.some(({announcement, lost}) => lost && announcement.sequence === sequence);
		const expected = isDrained ? 'draining' : 'joined';
		t.is(serverState(joined), isLost ? 'lost' : expected);
		t.is(joined.announcement.startedAt, startedAt);
	}), {seed, numRuns: 5000});
});

const nodes = 4;
const steps = fc.array(fc.oneof(
	fc.record({
		type: fc.constant('write' as const), at: fc.nat(nodes - 1), key: fc.nat(5), value: fc.nat(50),
	}),
	fc.record({
		type: fc.constant('exchange' as const), at: fc.nat(nodes - 1), with: fc.nat(nodes - 1), loss: fc.constantFrom('none', 'request', 'response'),
	}),
	fc.record({type: fc.constant('restart' as const), at: fc.nat(nodes - 1)}),
), {minLength: 20, maxLength: 80});

class Node {
	readonly digest = new Digest<number>({join: (known, next) => Math.max(next, known), serialize: String});
	readonly links = new Map<number, DigestExchange<number>>();
	readonly incarnation: number;

	constructor(incarnation: number) {
		this.incarnation = incarnation;
	}

	link(peer: number): DigestExchange<number> {
		const link = this.links.get(peer) ?? new DigestExchange({digest: this.digest, incarnation: this.incarnation, peer: `node-${peer}`});
		this.links.set(peer, link);
		return link;
	}
}

test('peers that exchange only changes converge to the same records despite message loss and restarts', t => {
	fc.assert(fc.property(steps, generatedSteps => {
		let incarnation = 1;
		const allNodes = Array.from({length: nodes}, () => new Node(incarnation++));
		const node = (index: number): Node => allNodes[index]!;
		const exchange = (child: number, parent: number, loss: string): void => {
			const request = node(child).link(parent).createMessage();
			if (loss === 'request') {
				return;
			}

			node(parent).link(child).receive(request);
			const response = node(parent).link(child).createMessage();
			if (loss !== 'response') {
				node(child).link(parent).receive(response);
			}
		};

		for (const step of generatedSteps) {
			if (step.type === 'write') {
				node(step.at).digest.merge(`key-${step.key}`, {item: step.value});
			} else if (step.type === 'restart') {
				allNodes[step.at] = new Node(incarnation++);
			} else if (step.at !== step.with) {
				exchange(step.at, step.with, step.loss);
			}
		}

		const expected = new Map<string, number>();
		for (const {digest} of allNodes) {
			for (const [key, value] of digest.entries()) {
				expected.set(key, Math.max(value, expected.get(key) ?? 0));
			}
		}

		for (let round = 0; round < 2 * nodes; round++) {
			for (let child = 1; child < nodes; child++) {
				exchange(child, child - 1, 'none');
			}
		}

		for (const {digest} of allNodes) {
			t.deepEqual(Object.fromEntries(digest.entries()), Object.fromEntries(expected));
			t.is(digest.hash, node(0).digest.hash);
		}

		t.deepEqual(node(1).link(0).createMessage().records, []);
	}), {seed, numRuns: 1000});
});
