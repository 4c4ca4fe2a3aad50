import {type InstanceId, type ZoneId} from '@valehitch/core';
import fc from 'fast-check';
import test, {type ExecutionContext} from 'ava';
import {type RelayMember, RelayRanking} from './relay-ranking.js';
import {RelaySelector} from './relay-selector.js';

const zoneSizes: Readonly<Record<number, readonly number[]>> = {
	7: [3, 2, 2], 16: [6, 5, 5], 84: [26, 30, 28], 370: [124, 123, 123],
};
const zoneCount = 3;
const tunnelsEach = 24;
/** The load that a relay may take over in any case, as a multiple of that of one instance. */
const ownLoad = 1;
const maximumImbalance = 2;

type Cut = {readonly kind: 'share' | 'zones' | 'neighbours'; readonly share: number; readonly zones: number; readonly seed: number};

const cuts = fc.record({
	kind: fc.constantFrom('share', 'zones', 'neighbours'),
	share: fc.double({min: 0.1, max: 0.95, noNaN: true}), zones: fc.integer({min: 1, max: zoneCount - 1}), seed: fc.integer({min: 1, max: 100_000}),
});

function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

function createMembers(size: number, {kind, share, zones, seed}: Cut): readonly RelayMember[] {
	const random = createRandom(seed);
	const all = zoneSizes[size]!.flatMap((count, zone) => Array.from({length: count}, (_, index) => ({instance: `10.${zone + 1}.0.${40 + index}` as InstanceId, zone: `z${zone}` as ZoneId})));
	const cutCount = Math.max(1, Math.min(size - 1, Math.round(share * size)));
	const start = Math.floor(random() * size);
	const shuffled = new Set(all.map(({instance}) => ({instance, order: random()})).toSorted((one, other) => one.order - other.order).slice(0, cutCount).map(({instance}) => instance));
	const isCut: Readonly<Record<Cut['kind'], (member: (typeof all)[number], index: number) => boolean>> = {
		share: ({instance}) => shuffled.has(instance),
		zones: ({zone}) => Number(zone.slice(1)) < zones,
		neighbours: (_, index) => (index - start + size) % size < cutCount,
	};
	return all.map((member, index) => ({...member, isCutOff: isCut[kind](member, index)}));
}

/** Opens tunnels of all instances that are cut off, the oldest ones closing; returns the tunnels of each relay. */
function simulate(members: readonly RelayMember[], random: () => number): ReadonlyMap<InstanceId, number> {
	const loads = new Map<InstanceId, number>();
	const ranking = new RelayRanking(members);
	const choosers = members.filter(({isCutOff}) => isCutOff).map(self => ({
		selector: new RelaySelector({random}), candidates: ranking.select(self), open: new Array<{readonly relay: InstanceId; readonly close: () => void}>(),
	}));
	for (let now = 0; now < 3 * tunnelsEach; now++) {
		for (const {selector, candidates, open} of choosers) {
			if (open.length === tunnelsEach) {
				const {relay, close} = open.shift()!;
				close();
				loads.set(relay, loads.get(relay)! - 1);
			}

			const relay = selector.choose({candidates, excluded: new Set(), now})!;
			loads.set(relay, (loads.get(relay) ?? 0) + 1);
			open.push({relay, close: selector.recordOpened(relay, {now, told: loads.get(relay)})});
		}
	}

	return loads;
}

test('an instance that is cut off together with most others or its whole zone is given relays that are not, while any is', t => {
	fc.assert(fc.property(fc.constantFrom(7, 16, 84, 370), cuts, (size, cut) => {
		const members = createMembers(size, cut);
		const connected = new Set(members.filter(({isCutOff}) => !isCutOff).map(({instance}) => instance));
		const ranking = new RelayRanking(members);
		for (const self of members.filter(({isCutOff}) => isCutOff)) {
			const relays = ranking.select(self);
			t.false(relays.includes(self.instance));
			t.is(new Set(relays).size, relays.length);
			const [first] = relays;
			t.true(connected.has(first!));
			t.is(relays.filter(relay => connected.has(relay)).length, Math.min(relays.length, connected.size));
		}
	}), {numRuns: 60});
});

function assertIsSpread(t: ExecutionContext, size: number, cut: Cut): void {
	const members = createMembers(size, cut);
	const cutCount = members.filter(({isCutOff}) => isCutOff).length;
	const mean = cutCount / (size - cutCount);
	const largest = Math.max(...simulate(members, createRandom(cut.seed)).values()) / tunnelsEach;
	t.true(largest <= Math.max(ownLoad, maximumImbalance * mean), `${largest} of the load of an instance, ${mean} on average`);
}

test('the load of instances that are cut off is spread over the others', t => {
	fc.assert(fc.property(fc.constantFrom(7, 16, 84), cuts, (size, cut) => {
		assertIsSpread(t, size, cut);
	}), {numRuns: 60});
});

test('no relay takes the load of all instances in a gap between hashes', t => {
	assertIsSpread(t, 84, {
		kind: 'share', share: 0.345, zones: 1, seed: 47,
	});
});

test('the relays of an instance that is not cut off are in all zones, its own first', t => {
	const members = createMembers(84, {
		kind: 'zones', share: 0, zones: 0, seed: 1,
	});
	const ranking = new RelayRanking(members);
	for (const self of members) {
		const zones = ranking.select(self).map(relay => members.find(({instance}) => instance === relay)!.zone);
		t.is(zones[0], self.zone);
		t.is(new Set(zones.slice(0, zoneCount)).size, zoneCount);
	}
});
