import test from 'ava';
import {mayRelay, type RelayConditions} from './may-relay.js';

const conditions: RelayConditions = {
	isStopping: false, links: {areConnected: true}, openTunnels: 511,
};

test('an instance opens connections for others unless it stops, its links are in doubt or it has too many', t => {
	t.true(mayRelay(conditions));
	t.false(mayRelay({...conditions, isStopping: true}));
	t.false(mayRelay({...conditions, links: {areConnected: false}}));
	t.false(mayRelay({...conditions, openTunnels: 512}));
});
