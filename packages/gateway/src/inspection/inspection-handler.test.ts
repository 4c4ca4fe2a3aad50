import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {chooseServer, type ServerView} from '@valehitch/routing';
import {
	type ServerId, type ServiceId, type VersionId, type ZoneId,
} from '@valehitch/core';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {InspectionHandler, type InspectionHandlerOptions} from './inspection-handler.js';
import {type ServerBelief} from './describe-server.js';
import {type ProfileSummary} from './sum-profile.js';

/** Some dozens of samples each. */
const decidingMicroseconds = 300_000;
const idleMilliseconds = 500;
const decisionsBetweenReadings = 20;
const servers: readonly ServerView[] = Array.from({length: 50}, (_, index) => ({
	id: `server-${index}` as ServerId,
	zone: 'hall-a' as ZoneId,
	capacity: 8,
	reportedInFlight: 0,
	ownInFlightAtReport: 0,
	reportAge: 0,
	ownInFlight: 0,
	draining: false,
	expired: false,
	ejected: false,
	rateLimited: false,
	paused: false,
	uptime: 60_000,
	loaded: new Set(['x']),
}));

/** Serves the handler; `wait` stands for the time of a profile. */
async function serve(t: ExecutionContext, {wait, entry = () => undefined}: Pick<InspectionHandlerOptions, 'wait'> & Partial<InspectionHandlerOptions>): Promise<string> {
	const {registry} = createGatewayMetrics();
	const handler = new InspectionHandler({
		registry, wait, entry, clock: {monotonic: () => 5000},
	});
	const server = createServer((request, response) => {
		void handler.handle(request, response);
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Serves the handler with a profile that is recorded until `end` is called. */
async function serveHeld(t: ExecutionContext): Promise<{readonly address: string; readonly startProfile: () => Promise<{readonly response: Promise<Response>}>; readonly end: () => void}> {
	const recordings = new EventTarget();
	const address = await serve(t, {
		async wait() {
			recordings.dispatchEvent(new Event('started'));
			await once(recordings, 'ended');
		},
	});
	return {
		address,
		async startProfile() {
			const started = once(recordings, 'started');
			const response = fetch(`${address}/profile`);
			await started;
			return {response};
		},
		end() {
			recordings.dispatchEvent(new Event('ended'));
		},
	};
}

/** Makes decisions for some processor time, which on a busy machine is less than the time that passes. Reading the time takes a small part of it. */
function decide(): void {
	const start = process.cpuUsage();
	while (process.cpuUsage(start).user < decidingMicroseconds) {
		for (let decision = 0; decision < decisionsBetweenReadings; decision++) {
			chooseServer(servers, {
				target: 'x', excluded: new Set(), zone: 'hall-a' as ZoneId, random: () => 0,
			});
		}
	}
}

test.serial('a profile names the work of the process by group and function, and sums to its whole time', async t => {
	const seconds: number[] = [];
	const address = await serve(t, {
		async wait(milliseconds) {
			seconds.push(milliseconds / 1000);
			decide();
			await delay(idleMilliseconds);
		},
	});
	const response = await fetch(`${address}/profile?seconds=2&format=json`);
	t.is(response.status, 200);
	const {milliseconds, groups, functions} = await response.json() as ProfileSummary;
	t.deepEqual(seconds, [2]);
	for (const shares of [groups, functions]) {
		t.true(Math.abs(shares.reduce((sum, share) => sum + share.milliseconds, 0) - milliseconds) < 0.001);
	}

	const decisions = groups.find(({name}) => name === 'decisions');
	t.true(decisions !== undefined && decisions.milliseconds > 0);
	t.true(groups.some(({name}) => name === 'idle'));
	t.true(functions.some(({name}) => name.startsWith('chooseServer routing/server-choice:')));
});

test.serial('a profile is a table in plain text unless JSON is asked for, and takes five seconds by default', async t => {
	const waits: number[] = [];
	const address = await serve(t, {
		async wait(milliseconds) {
			waits.push(milliseconds);
			decide();
		},
	});
	const response = await fetch(`${address}/profile`);
	t.true(response.headers.get('content-type')?.startsWith('text/plain'));
	t.regex(await response.text(), /ms +\d+\.\d % {2}decisions\n/v);
	t.deepEqual(waits, [5000]);
});

test.serial('a second profile at the same time is rejected, and a later one is recorded', async t => {
	const {address, startProfile, end} = await serveHeld(t);
	const first = await startProfile();
	const second = await fetch(`${address}/profile`);
	t.is(second.status, 409);
	t.regex(await second.text(), /profile-in-progress/v);
	end();
	const {status} = await first.response;
	t.is(status, 200);
	const third = await startProfile();
	end();
	const later = await third.response;
	t.is(later.status, 200);
});

test.serial('parameters out of range are rejected with the name of the field', async t => {
	const address = await serve(t, {
		async wait() {
			t.fail('nothing is recorded');
		},
	});
	for (const query of ['seconds=0', 'seconds=31', 'seconds=1.5', 'seconds=-1', 'seconds=', 'seconds=abc', 'seconds=1e1', 'format=xml']) {
		const response = await fetch(`${address}/profile?${query}`);
		const text = await response.text();
		t.is(response.status, 400);
		t.true(text.includes(query), `${query} is named in ${text}`);
	}
});

test.serial('metrics are answered while a profile is recorded', async t => {
	const {address, startProfile, end} = await serveHeld(t);
	const profile = await startProfile();
	const metrics = await fetch(`${address}/metrics`);
	t.regex(await metrics.text(), /valehitch_requests_total/v);
	end();
	const {status} = await profile.response;
	t.is(status, 200);
});

test.serial('an entry instance lists its beliefs and the decisions on a request, formatted only then', async t => {
	const belief: ServerBelief = {
		server: 's1' as ServerId, service: 'labels' as ServiceId, zone: 'hall-a' as ZoneId, version: 'v1' as VersionId, state: 'ready', slots: 8,
		ownRequests: 1, ownLoad: 1, othersLoad: 2, reportedAgo: 300, unreachableFor: 0, conditions: ['paused'], notChosen: 'has asked for a pause',
	};
	const decisions = [{at: 4000, kind: 'held', facts: {share: 0.2}}, {at: 4900, kind: 'refused'}];
	const address = await serve(t, {
		wait: async () => undefined,
		entry: () => ({beliefs: () => [belief], decisionsOf: request => request === 'a/1' ? decisions : undefined}),
	});
	const servers = await fetch(`${address}/servers`);
	t.deepEqual(await servers.json(), {servers: [belief]});
	const why = await fetch(`${address}/decisions/a%2F1`);
	t.deepEqual(await why.json(), {request: 'a%2F1', decisions: [{kind: 'held', facts: {share: 0.2}, millisecondsAgo: 1000}, {kind: 'refused', millisecondsAgo: 100}]});
	for (const request of ['b', '%', '']) {
		const missing = await fetch(`${address}/decisions/${request}`);
		t.is(missing.status, 404);
	}
});

test.serial('an instance that routes no requests says so', async t => {
	const address = await serve(t, {wait: async () => undefined});
	for (const path of ['servers', 'decisions/a']) {
		const response = await fetch(`${address}/${path}`);
		const text = await response.text();
		t.is(response.status, 404);
		t.regex(text, /routes no requests/v);
	}
});
