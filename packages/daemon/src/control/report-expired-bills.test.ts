import {PassThrough} from 'node:stream';
import {type Command, ControlState} from '@valehitch/control';
import {
	type Bill, type InstanceId, type Micros, type RequestId, toId, type WorkspaceId,
} from '@valehitch/core';
import test from 'ava';
import bunyan from 'bunyan';
import {reportExpiredBills} from './report-expired-bills.js';

function createBill(settledAt: number): Bill {
	return {
		workspace: toId<WorkspaceId>('yard'), request: toId<RequestId>(`request-${settledAt}`), instance: toId<InstanceId>('entry-a'), lines: [], total: 1 as Micros, outcome: 'answered', settledAt,
	};
}

test('a bill that the ledger rejected as expired is logged completely and counted once, by the replica that replies to the proposer', t => {
	const state = new ControlState();
	state.apply({type: 'set-limits', limits: {...state.limits, billWindow: 1}}, {term: 1, index: 1});
	state.apply({type: 'record-bills', bills: [createBill(10), createBill(11)]}, {term: 1, index: 2});
	const command: Command = {type: 'record-bills', bills: [createBill(9), createBill(12)]};
	const result = state.apply(command, {term: 1, index: 3});
	const stream = new PassThrough();
	const counters: string[] = [];
	const base = {
		log: bunyan.createLogger({name: 'test', stream}),
		metrics: {
			increment(name: string) {
				counters.push(name);
			},
			timing: ignore, gauge: ignore, close: ignore,
		},
	};
	const applied = {
		command, result, term: 1, index: 3,
	};
	t.deepEqual(reportExpiredBills(base, {...applied, isAwaited: false}), []);
	t.deepEqual(reportExpiredBills(base, {...applied, isAwaited: true}), [createBill(9)]);
	t.deepEqual(counters, ['ledger.expired']);
	t.like(JSON.parse(String(stream.read())), {level: bunyan.ERROR, bill: {request: 'request-9', total: 1}});
});

function ignore(): void {
	// The test checks only counters.
}
