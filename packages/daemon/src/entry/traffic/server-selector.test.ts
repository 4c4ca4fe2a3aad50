import {
	type Clock, type InstanceId, type RequestId, type ServerId, type ServiceId, toId, type WorkspaceId, type ZoneId,
} from '@valehitch/core';
import {ServerTable} from '@valehitch/membership';
import {DecisionHistory} from '@valehitch/routing';
import test from 'ava';
import {Timeline} from '../../timeline.js';
import {type ServerChoice} from '../lifecycle/request-adapter.js';
import {ServerActivity} from './server-activity.js';
import {ServerSelector} from './server-selector.js';

const zone = toId<ZoneId>('hall-a');
const otherZone = toId<ZoneId>('hall-b');
const service = toId<ServiceId>('labels');
const clock: Clock = {monotonic: () => 0, now: () => new Date(0)};

function ignore(): void {
	// Intentionally empty.
}

test('an evacuated zone gets no attempts, the last allowed ones included', t => {
	const servers = new ServerTable({clock, zone, expiryMilliseconds: 60_000});
	for (const [index, serverZone] of [zone, otherZone].entries()) {
		servers.announce({
			server: toId<ServerId>(`desk-${index}`), zone: serverZone, kind: 'service', service, address: `http://127.0.0.1:${index + 1}`, models: [],
			capacity: 4, active: 0, checksFencing: false, shuttingDown: false, sequence: 1, startedAt: 1,
		});
	}

	const evacuated = new Set<ZoneId>();
	const selector = new ServerSelector({
		servers, zone, clock, random: () => 0.5, evacuatedZones: () => evacuated, decisions: new DecisionHistory(), activity: new ServerActivity(),
		timeline: new Timeline({
			clock, instance: toId<InstanceId>('entry-a'), zone, write: ignore,
		}),
	});
	const choose = (): ServerChoice => selector.choose({
		type: 'choose-server', target: {type: 'service', service}, attempt: 1, purpose: 'first', excluded: [], budgeted: false,
	}, {requestId: toId<RequestId>('r1'), workspace: toId<WorkspaceId>('mills'), target: service});
	t.like(choose(), {type: 'chosen', server: 'desk-0'});
	evacuated.add(zone);
	t.like(choose(), {type: 'chosen', server: 'desk-1'});
	evacuated.add(otherZone);
	t.like(choose(), {type: 'none'});
});
