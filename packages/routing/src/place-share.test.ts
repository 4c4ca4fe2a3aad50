import {testProp, fc} from '@fast-check/ava';
import {type InstanceId, type ServerId} from '@valehitch/core';
import test from 'ava';
import {placeShare} from './place-share.js';

function instancesOf(count: number): readonly InstanceId[] {
	return Array.from({length: count}, (_, index) => `10.0.${Math.floor(index / 250)}.${index % 250}` as InstanceId);
}

testProp('the shares of all instances add up to the places of a server where their ids are known', [
	fc.nat(200), fc.integer({min: 1, max: 7}), fc.uuid(),
], (t, slots, count, id) => {
	const instances = instancesOf(count);
	const shares = instances.map(self => placeShare({
		server: id as ServerId, slots, self, others: instances.filter(other => other !== self), instances: count,
	}));
	t.is(shares.reduce((sum, share) => sum + share, 0), slots);
});

/** The rejections in a second that a server bears, and the share of the servers that may fall over. */
const rejectionsPerSecond = 5;
const allowedFalls = (servers: number): number => 2 + (servers / 10);

for (const count of [64, 100, 370]) {
	test(`the shares of ${count} instances that know six others each exceed what few servers bear, and leave few places unused`, t => {
		const instances = instancesOf(count);
		const servers = Array.from({length: 100}, (_, index) => `i-${index}` as ServerId);
		const sums = servers.map(server => {
			const shares = instances.map(self => placeShare({
				server, slots: 64, self, others: instances.filter(other => other !== self).slice(0, 6), instances: count,
			}));
			return shares.reduce((sum, share) => sum + share, 0);
		});
		const exceeded = sums.filter(sum => sum > 64 + rejectionsPerSecond).length;
		t.true(exceeded <= allowedFalls(servers.length), `${exceeded} servers`);
		const mean = sums.reduce((sum, used) => sum + used, 0) / servers.length;
		t.true(mean > 0.7 * 64, `${mean} of 64 places are used on average`);
	});
}
