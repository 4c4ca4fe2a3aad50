import test from 'ava';
import {predictFirstEvent} from './predict-first-event.js';

test('a prompt waits for the prompts before it, at the pace of the server', t => {
	t.is(predictFirstEvent({reading: 300, streams: 4, slowness: 2}, {calm: 100}), 800);
	t.is(predictFirstEvent({reading: 0, streams: 0, slowness: 1}, {calm: 100}), 100);
	t.is(predictFirstEvent(undefined, {calm: 100}), 100);
});

test('cached parts shorten the prompt, but not the wait, and never below zero', t => {
	const work = {reading: 300, streams: 0, slowness: 1};
	t.is(predictFirstEvent(work, {calm: 100, cached: 80}), 320);
	t.is(predictFirstEvent(work, {calm: 100, cached: 250}), 300);
	t.is(predictFirstEvent(work, {calm: 100, cached: -50}), 400);
	t.is(predictFirstEvent({...work, reading: -20}, {calm: 100}), 100);
});
