import {type InstanceId, type ServerId, type ZoneId} from '@valehitch/core';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {testRequest} from './_test-request.js';
import {EntryServers} from './entry-servers.js';
import {Placement, type PlacementContext} from './placement.js';
import {RepeatTracker} from './repeat-tracker.js';
import {VersionPins} from './version-pins.js';

/** Returns the servers chosen for requests that share a long prompt prefix. */
function chosenServers({isSuspect}: {readonly isSuspect: boolean}): ReadonlySet<ServerId> {
	let draws = 0;
	const random = (): number => {
		draws++;
		return draws * 0.618 % 1;
	};

	const servers = new EntryServers({
		zone: 'hall-a' as ZoneId, random, loads: {peerLoadAt: () => 0, recordChange: ignore, discardServer: ignore}, onReplaced: ignore,
	});
	servers.applyRecords(Array.from({length: 8}, (_, index) => testServer({id: `server-${index}` as ServerId})), {source: '10.0.0.1' as InstanceId, now: 0});
	const context: PlacementContext = {
		clock: {now: () => new Date(0), monotonic: () => 0},
		random,
		servers,
		repeats: new RepeatTracker(),
		pins: new VersionPins({sessionMilliseconds: 5000}),
		rolloutOf: () => undefined,
		bounds: {canaryShare: 0.1, minimumConfidence: 50},
	};
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

function ignore(): void {
	// Intentionally empty.
}

test('requests with a common prompt prefix have a home server, which suspect requests do not use', t => {
	t.is(chosenServers({isSuspect: false}).size, 1);
	t.true(chosenServers({isSuspect: true}).size > 4);
});
