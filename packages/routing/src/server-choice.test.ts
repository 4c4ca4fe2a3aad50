import {type ServerId, toId, type ZoneId} from '@valehitch/core';
import test from 'ava';
import fc from 'fast-check';
import {prefixHash} from './rendezvous-score.js';
import {chooseServer, type ServerChoiceOptions, type ServerCriteria} from './server-choice.js';
import {serverLoad, effectiveCapacity} from './server-load.js';
import {type ServerView} from './server-view.js';

const seed = 20_261_202;
const target = 'tag-small@1.0';
const zones = ['a', 'b', 'c'].map(name => toId<ZoneId>(name));

function viewOf(index: number, members: Partial<ServerView> = {}): ServerView {
	return {
		id: toId<ServerId>(`engine-${index}`),
		zone: zones[0]!,
		capacity: 8,
		reportedInFlight: 0,
		ownInFlightAtReport: 0,
		reportAge: 100,
		ownInFlight: 0,
		draining: false,
		expired: false,
		ejected: false,
		uptime: 60_000,
		loaded: new Set([target]),
		...members,
	};
}

function choose(servers: readonly ServerView[], options: Partial<ServerCriteria & ServerChoiceOptions> = {}): string | undefined {
	return chooseServer(servers, {
		target, excluded: new Set(), zone: zones[0]!, random: () => 0.5, ...options,
	}).map(({server}) => server).toMaybe().extract();
}

type Arbitraries<Type> = {readonly [Key in keyof Type]?: fc.Arbitrary<Type[Key]>};

const serverMembers = {
	zone: fc.constantFrom(...zones),
	capacity: fc.integer({min: 1, max: 16}),
	reportedInFlight: fc.nat(20),
	ownInFlightAtReport: fc.nat(5),
	reportAge: fc.nat(20_000),
	ownInFlight: fc.nat(10),
	draining: fc.boolean(),
	expired: fc.boolean(),
	ejected: fc.boolean(),
	uptime: fc.nat(60_000),
} satisfies Arbitraries<ServerView>;

const anyServers = fc.array(fc.record({...serverMembers, isLoaded: fc.boolean()}), {maxLength: 12, size: 'max'})
	.map(servers => servers.map(({isLoaded, ...members}, index) => viewOf(index, {...members, loaded: new Set(isLoaded ? [target] : [])})));

test('chooses only eligible servers, and finds one if there is any', t => {
	const options = fc.record({prefix: fc.option(fc.nat(60_000_000), {nil: undefined}), draw: fc.double({min: 0, max: 0.999, noNaN: true}), excluded: fc.nat(11)});
	fc.assert(fc.property(anyServers, options, (servers, {prefix, draw, excluded}) => {
		const isEligible = (server: ServerView) => server.loaded.has(target) && !server.draining && !server.expired && !server.ejected && server.id !== `engine-${excluded}`;
		const chosen = choose(servers, {prefix, random: () => draw, excluded: new Set([toId<ServerId>(`engine-${excluded}`)])});
		t.is(chosen !== undefined, servers.some(server => isEligible(server)));
		t.true(chosen === undefined || isEligible(servers.find(({id}) => id === chosen)!));
	}), {seed, numRuns: 2000, includeErrorInReport: true});
});

test('a frequent prefix loads no server beyond the bound', t => {
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 16}), {minLength: 2, maxLength: 20}), fc.nat(60_000_000), (capacities, prefix) => {
		const loads = capacities.map(() => 0);
		const total = capacities.reduce((sum, capacity) => sum + capacity, 0);
		for (let sent = 1; sent <= total; sent++) {
			const servers = capacities.map((capacity, index) => viewOf(index, {capacity, ownInFlight: loads[index]!}));
			const index = servers.findIndex(({id}) => id === choose(servers, {prefix}));
			loads[index] = loads[index]! + 1;
			t.true(loads[index] <= Math.max(1, Math.ceil((1.25 * sent * capacities[index]! / total) - 1e-9)));
		}
	}), {seed, numRuns: 100, includeErrorInReport: true});
});

test('a prefix keeps its preferred server when other servers leave', t => {
	const servers = Array.from({length: 10}, (_, index) => viewOf(index));
	const removed = toId<ServerId>('engine-3');
	let moved = 0;
	for (let prefix = 0; prefix < 1000; prefix++) {
		const before = choose(servers, {prefix: prefix * 50_021});
		const remaining = servers.filter(({id}) => id !== removed);
		const after = choose(remaining, {prefix: prefix * 50_021});
		moved += before === after ? 0 : 1;
		t.true(before === after || before === removed);
	}

	t.true(moved > 50 && moved < 200, `${moved} of 1,000 prefixes moved, expected about 100`);
});

test('counts a request of this instance once, whether or not the report included it', t => {
	const reportAge = 0;
	t.is(serverLoad(viewOf(1, {
		reportedInFlight: 5, ownInFlightAtReport: 2, ownInFlight: 4, reportAge,
	})), 7);
	t.is(serverLoad(viewOf(1, {
		reportedInFlight: 0, ownInFlightAtReport: 0, ownInFlight: 4, reportAge,
	})), 4);
	t.is(serverLoad(viewOf(1, {
		reportedInFlight: 5, ownInFlightAtReport: 5, ownInFlight: 0, reportAge,
	})), 0);
	const old = serverLoad(viewOf(1, {reportedInFlight: 6, ownInFlight: 1, reportAge: 60_000}), {meanOtherLoad: 0.25});
	t.true(Math.abs(old - 3) < 1e-6, 'the load of other instances decays to the mean as a report ages');
});

test('the capacity of a new server ramps up', t => {
	t.is(effectiveCapacity(viewOf(1, {uptime: 0})), 0.8);
	t.is(effectiveCapacity(viewOf(1, {uptime: 15_000})), 4);
	t.is(effectiveCapacity(viewOf(1, {uptime: 90_000})), 8);
});

test('stays in its own zone unless that is empty or much busier than the others', t => {
	const local = [viewOf(1, {ownInFlight: 3}), viewOf(2, {ownInFlight: 3})];
	const other = [viewOf(3, {zone: zones[1]!})];
	t.not(choose([...local, ...other]), 'engine-3');
	t.is(choose([...local.map(server => ({...server, ownInFlight: 8})), ...other]), 'engine-3');
	t.is(choose(other), 'engine-3');
});

test('reports why each server was not chosen', t => {
	const choice = chooseServer([viewOf(1, {draining: true}), viewOf(2, {ejected: true}), viewOf(3)], {
		target, excluded: new Set(), zone: zones[0]!, random: () => 0.5,
	});
	t.deepEqual(choice.map(({considered}) => considered.map(({verdict}) => verdict)).extract(), ['is shutting down', 'is ejected for its failures', 'chosen']);
});

test('reports of now are chosen from as without a rate of arrivals, with the same random numbers', t => {
	const options = fc.record({prefix: fc.option(fc.nat(60_000_000), {nil: undefined}), draws: fc.array(fc.double({min: 0, max: 0.999, noNaN: true}), {minLength: 4, maxLength: 4})});
	fc.assert(fc.property(anyServers, options, (servers, {prefix, draws}) => {
		const current = servers.map(server => ({...server, reportAge: 0}));
		const chooseWith = (spread: Partial<ServerChoiceOptions>) => {
			let drawn = 0;
			const chosen = choose(current, {
				prefix, sampleCount: 4, random: () => draws[drawn++]!, ...spread,
			});
			return {chosen, drawn};
		};

		t.deepEqual(chooseWith({reportDecayMilliseconds: Number.POSITIVE_INFINITY, arrivalRate: 0.03}), chooseWith({}));
	}), {seed});
});

test('many instances that choose by the same old report fill the servers up evenly', t => {
	const servers = [0, 4, 8, 20].map((reportedInFlight, index) => viewOf(index, {reportedInFlight, reportAge: 500}));
	const counts = new Map<string | undefined, number>();
	for (let draw = 0; draw < 1000; draw++) {
		const chosen = choose(servers, {reportDecayMilliseconds: Number.POSITIVE_INFINITY, arrivalRate: 0.006, random: () => (draw + 0.5) / 1000});
		counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
	}

	// Twelve units arrive: eight, four and none bring the first three to the same load.
	t.deepEqual([...counts], [['engine-0', 667], ['engine-1', 333]]);
});

/** A pseudorandom source (Park and Miller, 1988). */
function lehmerRandom(): () => number {
	let state = 20_261_204;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

test('servers without a speed, or all of mean speed, are chosen in the same sequence as before speeds were known', t => {
	const formerSequence = '4 6 2 8 8 7 1 10 4 7 4 4 4 0 8 7 8 0 8 11 8 0 8 11 8 8 8 7 8 11 8 4 8 3 7 4 4 9 8 4 8 6 4 8 4 3 8 8 8 3 4 4 8 7 2 1 8 1 8 4';
	for (const speeds of [{}, {speed: 1, homeSpeed: 1}]) {
		const random = lehmerRandom();
		const servers = Array.from({length: 12}, (_, index) => viewOf(index, {
			zone: zones[index % 3 === 0 ? 1 : 0]!,
			capacity: 4 + (index % 5),
			reportedInFlight: (index * 5) % 11,
			reportAge: index * 40,
			ownInFlight: index % 4,
			uptime: index === 5 ? 10_000 : 60_000,
			...speeds,
		}));
		const chosen = Array.from({length: 60}, (_, index) => choose(servers, {
			random,
			sampleCount: 2 + (index % 3),
			prefix: index % 2 === 0 ? undefined : prefixHash(`part ${index}`),
			affinityScope: index % 4 === 1 ? 'all' : 'zone',
		})!.slice('engine-'.length));
		t.is(chosen.join(' '), formerSequence);
	}
});

test('requests are divided by speed', t => {
	const random = lehmerRandom();
	const speeds = [0.4, 1, 1.6];
	const loads = speeds.map(() => 0);
	for (let sent = 0; sent < 300; sent++) {
		const servers = speeds.map((speed, index) => viewOf(index, {speed, capacity: 100, ownInFlight: loads[index]!}));
		const chosen = choose(servers, {random});
		const index = servers.findIndex(({id}) => id === chosen);
		loads[index] = loads[index]! + 1;
	}

	for (const [index, speed] of speeds.entries()) {
		t.true(Math.abs(loads[index]! - (100 * speed)) < 10, `${loads.join(', ')}`);
	}
});

test('the load of others that is not known is assumed in proportion to speed', t => {
	const old = serverLoad(viewOf(1, {reportAge: 60_000, speed: 0.5}), {meanOtherLoad: 0.25});
	t.true(Math.abs(old - 1) < 1e-6);
	t.is(effectiveCapacity(viewOf(1, {speed: 0.5})), 4);
});

test('zones are compared by what their servers can bear, not by their slots', t => {
	const local = [viewOf(1, {ownInFlight: 4, speed: 0.5}), viewOf(2, {ownInFlight: 4, speed: 0.5})];
	const other = [viewOf(3, {zone: zones[1]!, ownInFlight: 3})];
	t.is(choose([...local, ...other]), 'engine-3');
	t.not(choose([...local.map(server => ({...server, speed: 1})), ...other]), 'engine-3');
});

test('a prefix leaves its home while the server cannot bear it, and returns', t => {
	const servers = Array.from({length: 6}, (_, index) => viewOf(index, {ownInFlight: 3, homeSpeed: 1, speed: 1}));
	const prefix = prefixHash('part 1');
	const home = choose(servers, {prefix});
	const withHomeAt = (speed: number) => choose(servers.map(server => server.id === home ? {...server, speed} : server), {prefix});
	t.not(withHomeAt(0.33), home);
	t.is(withHomeAt(0.95), home);
});

test('changes of the speed within a step of the home speed move no prefix', t => {
	const servers = Array.from({length: 8}, (_, index) => viewOf(index, {capacity: 100, homeSpeed: 1}));
	let prefix = 0;
	for (let count = 0; count < 300; count++) {
		prefix += 50_021;
		const before = choose(servers, {prefix});
		const after = choose(servers.map((server, index) => ({...server, speed: 0.9 + (0.025 * index)})), {prefix});
		t.is(after, before);
	}
});

test('the choice is that of drawing each server anew from all capacities, and a speed that is not known is as none', t => {
	const speed = fc.option(fc.double({min: 0.25, max: 2, noNaN: true}), {nil: undefined});
	const {capacity, reportedInFlight, ownInFlight} = serverMembers;
	const members = fc.record({
		capacity, reportedInFlight, ownInFlight, speed,
	});
	const draws = fc.array(fc.double({min: 0, max: 0.999, noNaN: true}), {minLength: 4, maxLength: 4});
	fc.assert(fc.property(fc.array(members, {minLength: 1, maxLength: 80}), draws, (servers, numbers) => {
		const views = servers.map((server, index) => viewOf(index, {...server, homeSpeed: server.speed, reportAge: 0}));
		const capacityOf = ({capacity, speed = 1}: ServerView): number => capacity * speed;
		const drawFrom = (number: number): ServerView => {
			let remaining = number * views.reduce((sum, view) => sum + capacityOf(view), 0);
			return views.find(view => {
				remaining -= capacityOf(view);
				return remaining < 0;
			}) ?? views.at(-1)!;
		};

		const loadOf = (view: ServerView): number => (view.ownInFlight + view.reportedInFlight + 3) / capacityOf(view);
		let expected = drawFrom(numbers[0]!);
		for (const other of numbers.slice(1).map(number => drawFrom(number))) {
			expected = loadOf(other) < loadOf(expected) ? other : expected;
		}

		let drawn = 0;
		const options = {
			sampleCount: 4, requestLoad: 3, reportDecayMilliseconds: Number.POSITIVE_INFINITY, random: () => numbers[drawn++ % 4]!,
		};
		t.is(choose(views, options), expected.id);
		const withoutUnknown = views.map(({speed, homeSpeed, ...view}) => speed === undefined ? view : {...view, speed, homeSpeed});
		t.is(choose(withoutUnknown, options), expected.id);
	}), {seed});
});
