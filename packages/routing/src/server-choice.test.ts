import {type ServerId, toId, type ZoneId} from '@valehitch/core';
import test from 'ava';
import fc from 'fast-check';
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
