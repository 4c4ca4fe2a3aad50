import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {ServerSimulation} from './_test-server-simulation.js';

const server = 'server-1' as ServerId;

for (const type of ['drain', 'end'] as const) {
	for (const seconds of [30, 95, 120, 150, 172]) {
		test(`a server whose shutdown (${type}) was reported is not selected when a control instance that missed it restarts ${seconds} s later`, async t => {
			const simulation = new ServerSimulation({controls: 3, entries: 1, servers: [server]});
			const [missing, notified, other] = simulation.controls;
			await simulation.advance(5000);
			simulation.partition(missing!, notified!);
			simulation.partition(missing!, other!);
			await (type === 'end' ? simulation.end(notified!, server) : simulation.announce(notified!, server, {state: 'draining'}));
			await simulation.advance(seconds * 1000);
			await simulation.restart(missing!);
			await simulation.pollAll();
			t.false(simulation.canSelect(0, server));
			simulation.stop();
		});
	}
}
