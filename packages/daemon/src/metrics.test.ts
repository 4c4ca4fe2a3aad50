import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import test from 'ava';
import {openMetrics} from './metrics.js';

const incrementCount = 300_000;
const maximumGrowthBytes = 10_000_000;

function heapBytes(): number {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	collect();
	return process.memoryUsage().heapUsed;
}

function fail(error: Error): never {
	throw error;
}

test('without settings, counters retain no memory', async t => {
	const metrics = await openMetrics(undefined, fail);
	const before = heapBytes();
	for (let number = 0; number < incrementCount; number++) {
		metrics.increment('request.refused', {kind: `kind-${number}`});
	}

	const growth = heapBytes() - before;
	metrics.close();
	t.true(growth < maximumGrowthBytes, `The heap grew by ${growth} bytes; expected less than ${maximumGrowthBytes}`);
});

test('with settings, counters are sent over UDP', async t => {
	const receiver = createSocket('udp4');
	receiver.bind(0, '127.0.0.1');
	await once(receiver, 'listening');
	const received = once(receiver, 'message');
	const metrics = await openMetrics({host: '127.0.0.1', port: receiver.address().port, prefix: 'valehitch'}, fail);
	metrics.increment('request.refused', {kind: 'overloaded'});
	const [message] = await received as [Uint8Array];
	t.regex(new TextDecoder().decode(message), /^valehitch\.request\.refused:1\|c/v);
	metrics.close();
	receiver.close();
});
