import {type InstanceId} from '@valehitch/core';
import test from 'ava';
import {CommandFormats, currentCommandFormat} from './command-formats.js';

const old = '10.0.0.1' as InstanceId;
const updated = '10.0.0.2' as InstanceId;

test('a command waits for the update of each member that could not read it', t => {
	const formats = new CommandFormats();
	formats.record(updated, currentCommandFormat);
	t.is(formats.findUnable('set-evacuation', [old, updated]), undefined, 'nothing is known of it yet');
	formats.record(old, undefined);
	t.is(formats.findUnable('set-evacuation', [old, updated]), old);
	t.is(formats.findUnable('put-configuration', [old, updated]), undefined);
	t.is(formats.findUnable('set-evacuation', [updated]), undefined, 'it is no member');
	formats.record(old, currentCommandFormat);
	t.is(formats.findUnable('set-evacuation', [old, updated]), undefined);
});
