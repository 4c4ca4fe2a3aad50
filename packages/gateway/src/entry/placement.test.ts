import {
	type InstanceId, type ServerId, type VersionId, type ZoneId,
} from '@valehitch/core';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {type RolloutWithAge} from '../rollouts/rollout.js';
import {testServer} from '../servers/_test-server.js';
import {type ServerRecord} from '../servers/server-record.js';
import {testRequest} from './_test-request.js';
import {EntryServers} from './entry-servers.js';
import {Placement, type PlacementContext} from './placement.js';
import {RepeatTracker} from './repeat-tracker.js';
import {VersionPins} from './version-pins.js';

/** Creates a placement context with some servers. */
function createContext(records: readonly ServerRecord[], rollout?: RolloutWithAge): PlacementContext & {readonly servers: EntryServers} {
	let draws = 0;
	const random = (): number => {
		draws++;
		return draws * 0.618 % 1;
	};

	const servers = new EntryServers({
		zone: 'hall-a' as ZoneId, random, loads: {peerLoadAt: () => 0, recordChange: ignore, discardServer: ignore}, onReplaced: ignore,
	});
	servers.applyRecords(records, {source: '10.0.0.1' as InstanceId, now: 0});
	return {
		clock: {now: () => new Date(0), monotonic: () => 0},
		random,
		servers,
		repeats: new RepeatTracker(),
		pins: new VersionPins({sessionMilliseconds: 5000}),
		rolloutOf: () => rollout,
		bounds: {canaryShare: 0.15, minimumConfidence: 50},
	};
}

/** Returns the servers chosen for requests that share a long prompt prefix. */
function chosenServers({isSuspect}: {readonly isSuspect: boolean}): ReadonlySet<ServerId> {
	const context = createContext(serversOf('v1', 8));
	const chosen = new Set<ServerId>();
	for (let request = 0; request < 40; request++) {
		const placement = new Placement(context, {
			request: testRequest({promptParts: [{id: 'shared', tokens: 6000}, {id: `own ${request}`, tokens: 100}]}),
			route: testRoute({usesPromptCache: true}),
			bytes: 1000,
		});
		chosen.add(placement.choose(undefined, {isSuspect})!.id);
	}

	return chosen;
}

function serversOf(version: string, count: number): readonly ServerRecord[] {
	return Array.from({length: count}, (_, index) => testServer({id: `server-${version}-${index}` as ServerId, version: version as VersionId, port: 8000 + index}));
}

function ignore(): void {
	// Intentionally empty.
}

test('requests with a common prompt prefix have a home server, which suspect requests do not use', t => {
	t.is(chosenServers({isSuspect: false}).size, 1);
	t.true(chosenServers({isSuspect: true}).size > 4);
});

// On many idle servers a version four times as slow answered as quickly as the old one on busy servers.
test('a new version with a small share of the requests uses as small a part of its servers, and others where these fail', t => {
	const old = serversOf('v1', 13);
	const context = createContext([...old, ...serversOf('v2', 13)], {
		service: old[0]!.service, target: 'v2' as VersionId, duration: 15_000, stage: 'canary', orderedAt: 0, age: 9000,
	});
	const choose = (prefix: string): ReadonlySet<ServerId> => {
		const chosen = new Set<ServerId>();
		for (let index = 0; index < 500; index++) {
			const request = testRequest({session: `${prefix}${(index * 104_729).toString(16)}`});
			const placement = new Placement(context, {request, route: testRoute(), bytes: 1000});
			const server = placement.choose(undefined)!;
			if (server.version === 'v2') {
				chosen.add(server.id);
			}
		}

		return chosen;
	};

	const used = choose('first');
	t.is(used.size, 2);
	for (const id of used) {
		context.servers.recordResult(id, 'unreachable', 0);
	}

	const usedInstead = choose('second');
	t.true(usedInstead.size > 2 && [...used].every(id => !usedInstead.has(id)));
});
