import test from 'ava';
import {mayRelay} from './may-relay.js';
import {type RelayConditions} from './relay-refusal.js';

const conditions: RelayConditions = {
	isStopping: false, links: {isCutOff: false}, openTunnels: 511,
};

test('an instance opens connections for others unless it stops, it is cut off from the servers itself or it has too many', t => {
	t.true(mayRelay(conditions));
	t.false(mayRelay({...conditions, isStopping: true}));
	t.false(mayRelay({...conditions, links: {isCutOff: true}}));
	t.false(mayRelay({...conditions, openTunnels: 512}));
});
