import {Relay} from '@valehitch/transport';
import {type InstanceId, type ZoneId} from '@valehitch/core';
import test from 'ava';
import {Left} from 'purify-ts';
import {type ServerNoticeMessage} from '../control/peer-message.js';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {testServer} from '../servers/_test-server.js';
import {testAnswerHead} from './_test-answer-head.js';
import {ignore} from './_test-run.js';
import {EntryServers} from './entry-servers.js';
import {type AnswerHead} from './gateway-request.js';
import {recordNotices} from './record-notices.js';

const server = testServer({startedAt: 1});

function start(relay?: Relay) {
	const lines: string[] = [];
	const time = {now: 10_000};
	const servers = new EntryServers({
		zone: 'hall-a' as ZoneId, random: () => 0.5, loads: {peerLoadAt: () => 0, recordChange: ignore, discardServer: ignore}, onReplaced: ignore,
	});
	servers.applyRecords([server], {source: 'control-1' as InstanceId, now: time.now});
	const told: Array<readonly [InstanceId, ServerNoticeMessage]> = [];
	const answer = (changes: Partial<AnswerHead>, from = server): void => {
		time.now += 100;
		recordNotices(testAnswerHead(changes), {
			servers,
			clock: {now: () => new Date(0), monotonic: () => time.now},
			log(kind) {
				lines.push(kind);
			},
			metrics: createGatewayMetrics(),
			reportLimit() {
				lines.push('reported');
			},
			tellRejection({server: id, rejectionsPerSecond}) {
				lines.push(`rejected by ${id}, which bears ${rejectionsPerSecond}`);
				return 1000;
			},
			tellRelay(to, message) {
				told.push([to, message]);
			},
		}, {
			server: from, relay, request: 'a1', sentAt: time.now - 50,
		});
	};

	return {
		answer, lines, servers, time, told,
	};
}

test('a rejected answer without a limit does not end the limit that served ones name', t => {
	const {answer, servers, time} = start();
	answer({rateLimit: {type: 'limited', requestsPerSecond: 2}});
	answer({status: 503, isNotRun: true});
	t.false(servers.limits.rates.allows(server, time.now));
	answer({});
	t.true(servers.limits.rates.allows(server, time.now));
});

test('the beginning and the end of a limit are reported at once, and a repeated limit is not', t => {
	const {answer, lines} = start();
	answer({rateLimit: {type: 'limited', requestsPerSecond: 2}});
	answer({rateLimit: {type: 'limited', requestsPerSecond: 2}});
	answer({});
	answer({});
	t.deepEqual(lines, ['server-limit-changed', 'reported', 'server-limit-changed', 'reported']);
});

test('a limit that cannot be read leaves the known one, and a pause that cannot be read is a short one', t => {
	const {answer, lines, servers, time} = start();
	answer({rateLimit: {type: 'limited', requestsPerSecond: 2}});
	answer({rateLimit: {type: 'invalid', value: 'many'}});
	t.false(servers.limits.rates.allows(server, time.now));
	answer({status: 503, isNotRun: true, pause: {type: 'invalid', value: 'tomorrow'}});
	t.is(servers.limits.pauses.waitFor(server.id, time.now), 1000);
	t.deepEqual(lines.slice(2), ['server-limit-invalid', 'server-pause-invalid']);
});

test('an answer of an earlier process says nothing of the current one', t => {
	const {answer, servers, time} = start();
	answer({isDraining: true, rateLimit: {type: 'limited', requestsPerSecond: 2}, pause: {type: 'requested', milliseconds: 1000}}, testServer({startedAt: 0}));
	t.true(servers.limits.rates.allows(server, time.now));
	t.true(servers.limits.pauses.allows(server.id, time.now));
	t.is(servers.processStateOf(server), 'ready');
});

test('a pause or a shutdown that a server announces through a relay is passed on to the relay', t => {
	const relay = new Relay('10.0.0.7' as InstanceId, {open: async () => Left({type: 'peer-unavailable', reason: 'not under test'})});
	const {answer, told} = start(relay);
	answer({});
	answer({status: 503, isNotRun: true, pause: {type: 'requested', milliseconds: 3000}});
	answer({isDraining: true});
	t.deepEqual(told, [
		['10.0.0.7', {
			type: 'server-notice', server: server.id, isDraining: false, pause: 3000,
		}],
		['10.0.0.7', {
			type: 'server-notice', server: server.id, isDraining: true, pause: undefined,
		}],
	]);
	const direct = start();
	direct.answer({isDraining: true});
	t.deepEqual(direct.told, []);
});

test('a brittle server that rejects a request is left alone for a time, and others are told', t => {
	const {answer, lines, servers, time} = start();
	answer({status: 503, isNotRun: true});
	t.true(servers.limits.pauses.allows(server.id, time.now));
	answer({brittleness: {type: 'brittle', rejectionsPerSecond: 5}});
	answer({status: 503, isNotRun: true, brittleness: {type: 'brittle', rejectionsPerSecond: 5}});
	t.false(servers.limits.pauses.allows(server.id, time.now + 900));
	t.true(servers.limits.pauses.allows(server.id, time.now + 1000));
	answer({});
	t.deepEqual(lines, ['server-brittleness-changed', 'rejected by server-1, which bears 5', 'server-brittleness-changed']);
});

test('a server whose brittleness cannot be read counts as one that bears little', t => {
	const {answer, lines, servers} = start();
	answer({brittleness: {type: 'invalid', value: 'few'}});
	t.is(servers.limits.brittle.rejectionsOf(server), 1);
	t.deepEqual(lines, ['server-brittleness-invalid', 'server-brittleness-changed']);
});
