import {type LogEntry} from '@valehitch/consensus';
import {type Command, type CommandResponse, ControlState} from '@valehitch/control';
import {
	type ChangeId, emptyConfiguration, toId, toRevision,
} from '@valehitch/core';
import {type CommittedActions, StateMachine} from '@valehitch/replication';
import test from 'ava';
import {decodeCommand, encodeCommand} from './_command-codec.js';

const noActions: CommittedActions = {
	accepted: [], rejected: [], restore: undefined, committed: [],
};

function ignore(): void {
	// Not relevant for these tests.
}

function createMachine(): StateMachine<Command, CommandResponse, ControlState> {
	return new StateMachine<Command, CommandResponse, ControlState>({
		create: data => data === undefined ? new ControlState() : ControlState.fromSnapshot(data), decode: decodeCommand, onApplied: ignore, onReplicas: ignore,
	});
}

function createEntry(index: number, term: number): LogEntry {
	const data = encodeCommand({
		type: 'apply-configuration', changeId: toId<ChangeId>(`change-${index}-${term}`), digest: 'one', expectedRevision: toRevision(index - 1), document: emptyConfiguration, at: 0,
	});
	return {index, term, payload: {type: 'command', data}};
}

test('a proposer receives the result of its own entry', async t => {
	const machine = createMachine();
	const result = machine.waitForResult('one');
	machine.apply({...noActions, accepted: [{proposalId: 'one', index: 1, term: 4}]});
	machine.apply({...noActions, committed: [createEntry(1, 4)]});
	const settled = await result;
	t.like(settled.unsafeCoerce(), {revision: 1});
	t.is(machine.appliedIndex, 1);
});

test('a rejected proposal, and one whose log index was overwritten by another leader, did not run', async t => {
	const machine = createMachine();
	const rejected = machine.waitForResult('rejected');
	const replaced = machine.waitForResult('replaced');
	machine.apply({...noActions, rejected: ['rejected'], accepted: [{proposalId: 'replaced', index: 1, term: 4}]});
	machine.apply({...noActions, committed: [createEntry(1, 5)]});
	for (const settled of await Promise.all([rejected, replaced])) {
		t.like(settled.extract(), {kind: 'no-quorum', outcome: undefined});
	}
});

test('a proposal that was only truncated from the local log, or that a snapshot covers, may have run', async t => {
	const machine = createMachine();
	const truncated = machine.waitForResult('truncated');
	const covered = machine.waitForResult('covered');
	machine.apply({...noActions, accepted: [{proposalId: 'truncated', index: 1, term: 4}]});
	machine.apply({...noActions, accepted: [{proposalId: 'covered', index: 1, term: 6}]});
	const other = createMachine();
	other.apply({...noActions, committed: [createEntry(1, 6)]});
	machine.apply({
		...noActions, restore: {
			lastIndex: 1, lastTerm: 6, replicas: {voters: [], learners: []}, data: other.state.toSnapshot(),
		},
	});
	for (const settled of await Promise.all([truncated, covered])) {
		t.like(settled.extract(), {kind: 'no-quorum', outcome: 'unknown'});
	}

	t.is(machine.state.effective.revision, toRevision(1));
});
