import test from 'ava';
import {parseDecisions} from './_decision.js';
import {traceRequest} from './_trace-request.js';

function line(time: number, fields: Readonly<Record<string, unknown>>): string {
	return JSON.stringify({
		name: 'valehitch', instance: '10.1.0.40', hostname: 'front-1', pid: 7, level: 30, msg: 'x', v: 0, ...fields, time: new Date(time).toISOString(),
	});
}

const log = [
	line(1000, {kind: 'server-joined', server: 'i-1'}),
	`  1.2000 front-1 ${line(1200, {
		kind: 'server-suspected', server: 'i-2', level: 40, result: 'unreachable',
	})}`,
	line(1300, {kind: 'server-suspected', server: 'i-9', level: 40}),
	line(2000, {
		kind: 'request-dispatched', request: 'a1', server: 'i-2', send: 1,
	}),
	line(2400, {
		kind: 'request-attempt-ended', request: 'a1', server: 'i-2', level: 40, result: 'lost', reason: 'read ECONNRESET',
	}),
	line(2500, {kind: 'request-ended', request: 'b2', outcome: 'answered'}),
	line(2401, {
		kind: 'request-ended', request: 'a1', level: 40, outcome: 'refused', reason: 'Got no answer of i-2 (read ECONNRESET)',
	}),
	'{"name":"valehitch","kind":"request-en',
].join('\n');

test('a report starts with the cause, and leaves out other requests and unrelated servers', t => {
	const {decisions, unreadable} = parseDecisions(log);
	t.is(unreadable, 1);
	const report = traceRequest('a1', decisions);
	t.is(report[0], 'Cause: refused: Got no answer of i-2 (read ECONNRESET)');
	const text = report.join('\n');
	t.regex(text, /0 ms {2}10\.1\.0\.40 {2}request-dispatched {2}server=i-2 send=1/v);
	t.regex(text, /server-suspected {2}server=i-2/v);
	t.notRegex(text, /i-9|b2/v);
});

test('a request whose instance restarted before it answered is reported as such', t => {
	const {decisions} = parseDecisions([
		line(2000, {
			kind: 'request-dispatched', request: 'c3', server: 'i-2', send: 1,
		}),
		line(6000, {kind: 'process-started', process: 'front-1'}),
	].join('\n'));
	t.is(traceRequest('c3', decisions)[0], 'Cause: its instance ended before it answered, and started again 4000 ms after the last line about it');
});

test('a request that no log has gives an empty report', t => {
	t.deepEqual(traceRequest('none', parseDecisions(log).decisions), []);
});
