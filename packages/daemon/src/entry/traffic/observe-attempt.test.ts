import test from 'ava';
import {type AttemptOutput} from '../attempt-output.js';
import {observeAttempt} from './observe-attempt.js';

const clock = {monotonic: () => 0, now: () => new Date(0)};

function ignore(): void {
	// The event is not under test.
}

async function * outputsOf(outputs: readonly AttemptOutput[]): AsyncGenerator<AttemptOutput, void> {
	yield * outputs;
}

async function read(outputs: readonly AttemptOutput[], signal: AbortSignal): Promise<readonly string[]> {
	const ends: string[] = [];
	for await (const {type} of observeAttempt(outputsOf(outputs), {
		clock,
		signal,
		streamed: true,
		onData: ignore,
		onStage: ignore,
		onEnd(output) {
			ends.push(output.type);
		},
	})) {
		ends.push(`${type} forwarded`);
	}

	return ends;
}

test('an attempt that is cancelled because another one was answered is no failure of its server', async t => {
	const broken: AttemptOutput = {type: 'broken', message: 'socket hang up'};
	t.deepEqual(await read([broken], AbortSignal.abort()), []);
	t.deepEqual(await read([broken], new AbortController().signal), ['broken', 'broken forwarded']);
});
