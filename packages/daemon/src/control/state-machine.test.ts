import {type LogEntry} from '@valehitch/consensus';
import {type Command, type CommandAnswer, ControlState} from '@valehitch/control';
import {
	type ChangeId, emptyConfiguration, toId, toRevision,
} from '@valehitch/core';
import {type CommittedActions, StateMachine} from '@valehitch/replication';
import test from 'ava';
import {decodeCommand, encodeCommand} from './_encode-command.js';

const nothing: CommittedActions = {
	accepted: [], rejected: [], restore: undefined, committed: [],
};

function ignore(): void {
	// Nothing to note.
}

function newMachine(): StateMachine<Command, CommandAnswer, ControlState> {
	return new StateMachine<Command, CommandAnswer, ControlState>({
		create: data => data === undefined ? new ControlState() : ControlState.fromSnapshot(data), decode: decodeCommand, onApplied: ignore, onReplicas: ignore,
	});
}

function change(index: number, term: number): LogEntry {
	const data = encodeCommand({
		type: 'apply-configuration', changeId: toId<ChangeId>(`change-${index}-${term}`), digest: 'one', expectedRevision: toRevision(index - 1), document: emptyConfiguration, at: 0,
	});
	return {index, term, payload: {type: 'command', data}};
}

test('a proposer gets the result of its own entry', async t => {
	const machine = newMachine();
	const result = machine.resultOf('one');
	machine.apply({...nothing, accepted: [{proposalId: 'one', index: 1, term: 4}]});
	machine.apply({...nothing, committed: [change(1, 4)]});
	const settled = await result;
	t.like(settled.unsafeCoerce(), {revision: 1});
	t.is(machine.appliedIndex, 1);
});

test('a rejected proposal, and one whose place another leader took, did not run', async t => {
	const machine = newMachine();
	const rejected = machine.resultOf('rejected');
	const replaced = machine.resultOf('replaced');
	machine.apply({...nothing, rejected: ['rejected'], accepted: [{proposalId: 'replaced', index: 1, term: 4}]});
	machine.apply({...nothing, committed: [change(1, 5)]});
	for (const settled of await Promise.all([rejected, replaced])) {
		t.like(settled.extract(), {kind: 'no-quorum', outcome: undefined});
	}
});

test('a proposal that was only cut from the own log, or that a snapshot covers, may have run', async t => {
	const machine = newMachine();
	const cut = machine.resultOf('cut');
	const covered = machine.resultOf('covered');
	machine.apply({...nothing, accepted: [{proposalId: 'cut', index: 1, term: 4}]});
	machine.apply({...nothing, accepted: [{proposalId: 'covered', index: 1, term: 6}]});
	const other = newMachine();
	other.apply({...nothing, committed: [change(1, 6)]});
	machine.apply({
		...nothing, restore: {
			lastIndex: 1, lastTerm: 6, replicas: {voters: [], learners: []}, data: other.state.toSnapshot(),
		},
	});
	for (const settled of await Promise.all([cut, covered])) {
		t.like(settled.extract(), {kind: 'no-quorum', outcome: 'unknown'});
	}

	t.is(machine.state.effective.revision, toRevision(1));
});
