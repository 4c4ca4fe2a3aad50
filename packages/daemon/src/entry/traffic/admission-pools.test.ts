import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	type Clock, type InstanceId, type ModelId, type RequestId, type ServerId, toId, type VersionId, type WorkspaceId, type ZoneId,
} from '@valehitch/core';
import {ServerTable} from '@valehitch/membership';
import {type RequestEvent} from '@valehitch/routing';
import test from 'ava';
import {AdmissionPools, type AdmissionDemand} from './admission-pools.js';

const zone = toId<ZoneId>('prairie-south-a');
const model = toId<ModelId>('tag-small');
const version = toId<VersionId>('1.0');
const servers = 2;
const slotsPerServer = 8;
/** The estimated cost of a request without `max_tokens`, and its actual cost. */
const estimatedTokens = 208;
const actualTokens = 38;

function startPools(clock: Clock): AdmissionPools {
	const table = new ServerTable({clock, zone, expiryMilliseconds: 60_000});
	for (let index = 1; index <= servers; index++) {
		table.announce({
			server: toId<ServerId>(`engine-${index}`), zone, kind: 'engine', address: `http://127.0.0.1:${index}`, models: [{model, version}],
			capacity: slotsPerServer, active: 0, checksFencing: true, shuttingDown: false, sequence: 1, startedAt: 1,
		});
	}

	const self = {
		instance: toId<InstanceId>('entry-a'), zone, host: '127.0.0.1', port: 1,
	};
	return new AdmissionPools({
		clock, servers: table, self, members: () => [self], evacuatedZones: () => new Set(),
	});
}

function demandOf(id: number): AdmissionDemand {
	return {
		id: toId<RequestId>(`r${id}`), workspace: toId<WorkspaceId>('yard'), target: {type: 'version', model, version}, weight: 1, priority: 5, cost: estimatedTokens, deadline: 30_000,
	};
}

// If admitted requests were counted by their estimates, which are several times too high, most of the capacity would stay unused.
test('overestimated answer lengths leave no server capacity unused', async t => {
	let now = 0;
	const pools = startPools({monotonic: () => now, now: () => new Date(now)});
	for (let round = 0; round < 5; round++) {
		const ids = Array.from({length: servers * slotsPerServer}, (_, index) => (round * servers * slotsPerServer) + index);
		let admitted = 0;
		for (const id of ids) {
			void count(pools.admit(demandOf(id)));
		}

		async function count(event: Promise<RequestEvent>): Promise<void> {
			const {type} = await event;
			admitted += type === 'admitted' ? 1 : 0;
		}

		await nextTurn();
		t.is(admitted, ids.length, `round ${round}`);
		now += 1000;
		for (const id of ids) {
			pools.end(toId<RequestId>(`r${id}`), actualTokens);
		}
	}
});
