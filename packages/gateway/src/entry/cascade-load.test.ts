import test from 'ava';
import {
	type CascadeLoad, type CascadeResult, type KindResult, playCascadeLoad,
} from './_test-cascade-load.js';

/** The least share of the most urgent callers that are served in time under contention, over that without. */
const leastUrgentShare = 0.95;
/** The value of a right answer of each kind. */
const worths = [2.6, 0.44, 2.2];

/** Returns the value of the right answers in time, as a share of that of all requests. */
function valueOf({kinds}: CascadeResult): number {
	const sum = (count: (kind: KindResult) => number) => worths.reduce((total, worth, priority) => total + (worth * count(kinds[priority]!)), 0);
	return sum(({right}) => right) / sum(({asked}) => asked);
}

function playAll(load: Omit<CascadeLoad, 'rule'>): Readonly<Record<CascadeLoad['rule'], CascadeResult>> {
	return {
		cascade: playCascadeLoad({...load, rule: 'cascade'}),
		largest: playCascadeLoad({...load, rule: 'largest'}),
		'known-demand': playCascadeLoad({...load, rule: 'known-demand'}),
	};
}

for (const instances of [1, 7, 84]) {
	for (const escalationShare of [0.2, 0.5]) {
		test(`with room in the pool, the models of all sends are those of the cascade; escalation share ${escalationShare}, ${instances} instances`, t => {
			const load = {escalationShare, load: 0.5, instances};
			t.deepEqual(playCascadeLoad({...load, rule: 'known-demand'}), playCascadeLoad({...load, rule: 'cascade'}));
		});
	}

	for (const escalationShare of [0.2, 0.5, 0.7]) {
		test(`under contention, the urgent are served in time and callers get more right answers than by either fixed rule; escalation share ${escalationShare}, ${instances} instances`, t => {
			const results = playAll({escalationShare, load: 1.3, instances});
			const [urgent] = results['known-demand'].kinds;
			t.true(urgent.inTime >= leastUrgentShare * urgent.asked);
			t.true(valueOf(results['known-demand']) > Math.max(valueOf(results.cascade), valueOf(results.largest)));
		});
	}
}

for (const load of [0.5, 0.95]) {
	test(`prompts whose answers mostly escalate are read once at a load of ${load}`, t => {
		const {cascade, 'known-demand': known} = playAll({escalationShare: 0.7, load});
		t.true(known.models.length < cascade.models.length);
		t.true(known.poolShare <= cascade.poolShare);
		t.true(known.price <= cascade.price);
		t.true(valueOf(known) > valueOf(cascade));
	});
}

for (const escalationShare of [0.5, 0.7]) {
	const load = {escalationShare, smallestCost: 0.3};

	test(`where the smallest model costs a tenth, it goes first while there is room; escalation share ${escalationShare}`, t => {
		t.deepEqual(playCascadeLoad({...load, load: 0.5, rule: 'known-demand'}), playCascadeLoad({...load, load: 0.5, rule: 'cascade'}));
	});

	test(`where the smallest model costs a tenth, the urgent are served in time under contention; escalation share ${escalationShare}`, t => {
		const results = playAll({...load, load: 1.3});
		const [urgent] = results['known-demand'].kinds;
		t.true(urgent.inTime >= leastUrgentShare * urgent.asked);
		t.true(valueOf(results['known-demand']) > Math.max(valueOf(results.cascade), valueOf(results.largest)));
	});
}

test('a third of the pictures of the pool may be lost', t => {
	const [urgent] = playCascadeLoad({
		rule: 'known-demand', escalationShare: 0.5, load: 1.3, lostShare: 1 / 3,
	}).kinds;
	t.true(urgent.inTime >= leastUrgentShare * urgent.asked);
});
