import test from 'ava';
import {findViolations} from './find-violations.js';
import {
	emptyRecord, type ObservedRequest, type SoakRecord, completeResponse,
} from './soak-record.js';

const limits = {
	revocation: 2500, shutdown: 2500, configuration: 2000, evacuation: 5000,
};
const request: ObservedRequest = {
	id: '1-1', kind: 'unsafe', key: 'key-1', entry: 'front-1:1', sentAt: 1000, status: 200, text: completeResponse('1-1', 'unsafe'), isComplete: true,
};
const shutdown = {server: 'i-1', acknowledgedAt: -2000, control: 'core-1:1'};
const run = {id: '1-1', server: 'i-1', at: 1010};
const validRecord: SoakRecord = {
	...emptyRecord(), requests: [request], runs: [run], configurations: [{version: 1, acknowledgedAt: 10}], finalVersion: 1,
};

test('a valid record has no violations', t => {
	t.deepEqual(findViolations(validRecord, limits), []);
	t.deepEqual(findViolations({...validRecord, reads: [{version: 1, askedAt: 5000, control: 'core-1'}], shutdowns: [{server: 'i-1', acknowledgedAt: 900, control: 'core-1:1'}]}, limits), []);
	const inZone = {...validRecord, runs: [{...run, zone: 'hall-b'}]};
	t.deepEqual(findViolations({...inZone, evacuations: [{zone: 'hall-b', acknowledgedAt: -3000, endOrderedAt: undefined}]}, limits), [], 'within the limit');
	t.deepEqual(findViolations({...inZone, evacuations: [{zone: 'hall-b', acknowledgedAt: -6000, endOrderedAt: 1000}]}, limits), [], 'after the end');
	const cutOff = {ip: 'front-1', from: -2500, to: 500};
	t.deepEqual(findViolations({...validRecord, shutdowns: [shutdown], disturbances: [cutOff]}, limits), []);
});

const server = 'i-1';
/** Requests at a steady rate, which all reach one server through one instance. */
const steady = {
	requests: Array.from({length: 60}, (_, index) => ({
		...request, id: `1-${index}`, kind: 'safe', text: completeResponse(`1-${index}`, 'safe'),
	}) as const),
	arrivals: Array.from({length: 60}, (_, index) => ({id: `1-${index}`, server, at: index * 150})),
};
const limited: SoakRecord = {
	...validRecord, ...steady, limits: [{
		server, requestsPerSecond: 2, from: 0, to: 9000,
	}],
};
const paused: SoakRecord = {
	...validRecord, ...steady, pauses: [{
		id: '1-0', server, at: 0, until: 2000,
	}],
};

test('a server that named a high limit, or whose instance was disturbed, got no more than it allowed', t => {
	t.deepEqual(findViolations({...limited, limits: [{...limited.limits[0]!, requestsPerSecond: 5}]}, limits), []);
	const disturbances = [{ip: 'front-1', from: 500, to: 1000}];
	t.deepEqual(findViolations({...limited, disturbances}, limits), []);
	t.deepEqual(findViolations({...paused, disturbances}, limits), []);
});

/** Requests at two instances, of which the first refuses its own. */
const cutRequests = Array.from({length: 40}, (_, index): ObservedRequest => {
	const isOwn = index % 2 === 0;
	const id = `1-${index}`;
	return {
		...request, id, entry: isOwn ? 'front-1:1' : 'front-2:1', sentAt: 4000 + index, status: isOwn ? 503 : 200, text: isOwn ? '' : completeResponse(id, 'unsafe'),
	};
});

test('a cut instance is not judged by requests whose key may have been refused, and by the others it is', t => {
	const cut = {
		...validRecord, runs: [], requests: cutRequests, serverCuts: [{entry: 'front-1:1', from: 0, to: 9000}],
	};
	const isFound = (uncertainKeys: SoakRecord['uncertainKeys']) => findViolations({...cut, uncertainKeys}, limits).some(line => line.startsWith('server cut'));
	t.false(isFound([{key: request.key, from: 3000, to: undefined}]));
	t.true(isFound([{key: request.key, from: 0, to: 3000}, {key: request.key, from: 9000, to: undefined}, {key: 'key-2', from: 0, to: undefined}]));
});

test('a cut instance is judged by each service of which others are served, and by no other', t => {
	const ofService = (kind: ObservedRequest['kind'], othersStatus: number) => cutRequests.map((known, index): ObservedRequest => {
		const id = `${kind}-${index}`;
		const status = known.status === 200 ? othersStatus : known.status;
		return {
			...known, kind, id, status, text: status === 200 ? completeResponse(id, kind) : '',
		};
	});
	const findCuts = (requests: readonly ObservedRequest[]) => findViolations({
		...validRecord, runs: [], requests: [...requests], serverCuts: [{entry: 'front-1:1', from: 0, to: 9000}],
	}, limits).filter(line => line.startsWith('server cut'));
	t.deepEqual(findCuts([...ofService('unsafe', 503), ...ofService('streaming', 200).slice(0, 10)]), []);
	t.deepEqual(findCuts([...ofService('unsafe', 503), ...ofService('streaming', 200)]), ['server cut: front-1:1 served 0 of 20 requests, the others 20 of 20']);
	t.deepEqual(findCuts([...ofService('unsafe', 200).slice(0, 14), ...ofService('streaming', 200).slice(0, 14)]), ['server cut: front-1:1 served 0 of 14 requests, the others 14 of 14']);
});

test('a cut instance that was also disturbed is not judged', t => {
	t.deepEqual(findViolations({
		...validRecord, runs: [], requests: cutRequests, serverCuts: [{entry: 'front-1:1', from: 0, to: 9000}], disturbances: [{ip: 'front-1', from: 100, to: 200}],
	}, limits), []);
});

const violatingRecords: ReadonlyArray<readonly [guarantee: string, record: SoakRecord]> = [
	['at most once', {...validRecord, runs: [run, {...run, server: 'i-2'}]}],
	['sent requests', {...validRecord, runs: [run, {...run, id: 'hidden'}]}],
	['bodies', {...validRecord, runs: [{...run, body: ''}]}],
	['not run', {...validRecord, requests: [{...request, status: 503, text: ''}]}],
	['complete responses', {...validRecord, requests: [{...request, text: 'done'}]}],
	['matching responses', {...validRecord, requests: [{...request, text: 'done 1-2', isComplete: false}]}],
	['revoked keys', {...validRecord, requests: [{...request, sentAt: 4000}], revocations: [{key: 'key-1', acknowledgedAt: 1400}]}],
	['shutdown of servers', {...validRecord, shutdowns: [shutdown]}],
	['shutdown of servers', {...validRecord, shutdowns: [shutdown], disturbances: [{ip: 'front-2', from: -2500, to: 500}]}],
	['evacuated zones', {...validRecord, runs: [{...run, zone: 'hall-b'}], evacuations: [{zone: 'hall-b', acknowledgedAt: -5000, endOrderedAt: 2000}]}],
	['configuration', {...validRecord, reads: [{version: 0, askedAt: 3000, control: 'core-1'}]}],
	['configuration', {...validRecord, finalVersion: undefined}],
	['rate limits', limited],
	['pauses', paused],
	['server cut', {
		...validRecord, runs: [], requests: cutRequests, serverCuts: [{entry: 'front-1:1', from: 0, to: 9000}],
	}],
	['recovery', {...validRecord, unrecovered: ['front-1']}],
	['processes', {...validRecord, unexpectedExits: ['front-1 does not run at the end']}],
];

for (const [index, [guarantee, record]] of violatingRecords.entries()) {
	test(`a violation is found: ${guarantee} (${index})`, t => {
		const violations = findViolations(record, limits);
		t.is(violations.length, 1);
		t.true(violations[0]?.startsWith(`${guarantee}:`));
	});
}
