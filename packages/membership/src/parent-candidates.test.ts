import test from 'ava';
import fc from 'fast-check';
import {type InstanceId, toId, type ZoneId} from '@valehitch/core';
import {type MemberRecord} from './member-record.js';
import {parentCandidates} from './parent-candidates.js';
import {defaultFanOut} from './zone-tree.js';

const seed = 47;
const maximumDepth = 3;

function member(index: number, zone: string): MemberRecord {
	return {
		instance: toId<InstanceId>(`entry-${zone}-${index}`), zone: toId<ZoneId>(zone), region: 'north', host: '127.0.0.1', port: index, startedAt: 1, sequence: 0, state: 'joined',
	};
}

test('with identical views every instance reaches the leader, none has more children than the fan-out, and the leader serves only zone roots', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 53}), fc.integer({min: 1, max: 7}), (size, zoneCount) => {
		const members = Array.from({length: zoneCount * size}, (_, index) => member(index, `zone-${index % zoneCount}`));
		const leader = members[0]?.instance ?? toId<InstanceId>('');
		const parents = new Map<InstanceId, InstanceId>();
		const children = new Map<InstanceId, number>();
		for (const self of members) {
			const [parent] = parentCandidates({
				self, members, seeds: [], leader,
			});
			if (parent !== undefined && self.instance !== leader) {
				parents.set(self.instance, parent);
				children.set(parent, (children.get(parent) ?? 0) + 1);
			}
		}

		for (const [instance, count] of children) {
			t.true(count <= (instance === leader ? zoneCount : defaultFanOut));
		}

		for (const {instance} of members) {
			let steps = 0;
			let current = instance;
			while (current !== leader && steps <= maximumDepth + 1) {
				current = parents.get(current) ?? current;
				steps++;
			}

			t.is(current, leader);
		}
	}), {seed, numRuns: 60});
});

test('an instance without known peers prefers control instances of its own zone, then of its own region', t => {
	const self = member(1, 'zone-a');
	const far = {...member(9, 'zone-c'), region: 'south', state: 'lost' as const};
	const near = {...member(8, 'zone-b'), state: 'lost' as const};
	const seeds = ['zone-c', 'zone-b', 'zone-a'].map(zone => ({instance: toId<InstanceId>(`control-${zone}`), zone: toId<ZoneId>(zone)}));
	t.deepEqual(parentCandidates({self, members: [far, near], seeds}).map(String), ['control-zone-a', 'control-zone-b', 'control-zone-c']);
	const leader = toId<InstanceId>('control-zone-c');
	t.is(parentCandidates({
		self, members: [far, near], seeds, leader,
	})[0], leader);
});
