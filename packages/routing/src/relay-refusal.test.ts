import test from 'ava';
import {type RelayConditions, relayRefusal} from './relay-refusal.js';

const conditions: RelayConditions = {
	isStopping: false, links: {isCutOff: false}, openTunnels: 511,
};

test('an instance that opens no connection for others says why', t => {
	t.is(relayRefusal(conditions), undefined);
	t.is(relayRefusal({...conditions, isStopping: true}), 'stopping');
	t.is(relayRefusal({...conditions, links: {isCutOff: true}}), 'cut-off');
	t.is(relayRefusal({...conditions, openTunnels: 512}), 'too-many-tunnels');
});
