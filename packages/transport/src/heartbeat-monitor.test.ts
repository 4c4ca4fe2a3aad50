import test from 'ava';
import {HeartbeatMonitor} from './heartbeat-monitor.js';

test('a peer that sends data is not pinged', t => {
	const monitor = new HeartbeatMonitor({maximumIdle: 30});
	for (let beat = 0; beat < 10; beat++) {
		monitor.recordUse();
		monitor.recordData();
		t.is(monitor.beat(), 'none');
	}
});

test('a peer that answers pings only is kept', t => {
	const monitor = new HeartbeatMonitor({maximumIdle: 30});
	for (let beat = 0; beat < 10; beat++) {
		monitor.recordUse();
		const step = monitor.beat();
		t.not(step, 'close');
		if (step === 'ping') {
			monitor.recordData();
		}
	}
});

test('a peer that falls silent is found after three heartbeats', t => {
	const monitor = new HeartbeatMonitor({maximumIdle: 30});
	monitor.recordUse();
	monitor.recordData();
	t.deepEqual([monitor.beat(), monitor.beat(), monitor.beat()], ['none', 'ping', 'close']);
});

test('a connection that is not used is closed', t => {
	const monitor = new HeartbeatMonitor({maximumIdle: 2});
	const steps = ['data', 'data', 'data'].map(() => {
		monitor.recordData();
		return monitor.beat();
	});
	t.deepEqual(steps, ['none', 'none', 'close']);
});
