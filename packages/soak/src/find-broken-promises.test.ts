import test from 'ava';
import {findBrokenPromises} from './find-broken-promises.js';
import {
	emptyRecord, type SeenRequest, type SoakRecord, wholeAnswer,
} from './soak-record.js';

const bounds = {revocation: 2500, shutdown: 2500, configuration: 2000};
const request: SeenRequest = {
	id: '1-1', kind: 'unsafe', key: 'key-1', entry: 'front-1:1', sentAt: 1000, status: 200, text: wholeAnswer('1-1', 'unsafe'), isWhole: true,
};
const shutdown = {server: 'i-1', acknowledgedAt: -2000, control: 'core-1:1'};
const run = {id: '1-1', server: 'i-1', at: 1010};
const sound: SoakRecord = {
	...emptyRecord(), requests: [request], runs: [run], configurations: [{version: 1, acknowledgedAt: 10}], finalVersion: 1,
};

test('a sound record breaks nothing', t => {
	t.deepEqual(findBrokenPromises(sound, bounds), []);
	t.deepEqual(findBrokenPromises({...sound, reads: [{version: 1, askedAt: 5000, control: 'core-1'}], shutdowns: [{server: 'i-1', acknowledgedAt: 900, control: 'core-1:1'}]}, bounds), []);
	const cutOff = {ip: 'front-1', from: -2500, to: 500};
	t.deepEqual(findBrokenPromises({...sound, shutdowns: [shutdown], disturbances: [cutOff]}, bounds), []);
});

const broken: ReadonlyArray<readonly [what: string, record: SoakRecord]> = [
	['at most once', {...sound, runs: [run, {...run, server: 'i-2'}]}],
	['not run', {...sound, requests: [{...request, status: 503, text: ''}]}],
	['whole answers', {...sound, requests: [{...request, text: 'done'}]}],
	['own answers', {...sound, requests: [{...request, text: 'done 1-2', isWhole: false}]}],
	['keys taken away', {...sound, requests: [{...request, sentAt: 4000}], revocations: [{key: 'key-1', acknowledgedAt: 1400}]}],
	['shutdown of servers', {...sound, shutdowns: [shutdown]}],
	['shutdown of servers', {...sound, shutdowns: [shutdown], disturbances: [{ip: 'front-2', from: -2500, to: 500}]}],
	['configuration', {...sound, reads: [{version: 0, askedAt: 3000, control: 'core-1'}]}],
	['configuration', {...sound, finalVersion: undefined}],
	['recovery', {...sound, unrecovered: ['front-1']}],
	['processes', {...sound, ends: ['front-1 does not run at the end']}],
];

for (const [index, [what, record]] of broken.entries()) {
	test(`a broken promise is found: ${what} (${index})`, t => {
		const found = findBrokenPromises(record, bounds);
		t.is(found.length, 1);
		t.true(found[0]?.startsWith(`${what}:`));
	});
}
