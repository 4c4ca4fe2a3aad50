import test from 'ava';
import {decideStalled, soundSilenceMilliseconds, type StalledSend} from './decide-stalled.js';

const paused: StalledSend = {
	paused: 1200, targetGap: 1000, timeLeft: 5000, resumeTime: 300, canGoElsewhere: () => true, isServerInDoubt: false, isOvertaken: false,
};

const decisions: ReadonlyArray<readonly [string, Partial<StalledSend>, string, string]> = [
	['a stream that is on time', {paused: 900, isServerInDoubt: true}, 'wait', 'on-time'],
	['a server that may only be silent for a moment', {}, 'wait', 'may-go-on'],
	['a request that can go nowhere else', {canGoElsewhere: () => false, isServerInDoubt: true}, 'wait', 'nowhere-else'],
	['a stream that no other server can go on with in time', {timeLeft: 200, isServerInDoubt: true}, 'wait', 'no-time'],
	['a server that has missed its heartbeats', {isServerInDoubt: true}, 'resume-elsewhere', 'in-doubt'],
	['a server that sends to others', {isOvertaken: true}, 'resume-elsewhere', 'overtaken'],
	['a server that is silent for longer than sound ones', {paused: soundSilenceMilliseconds}, 'resume-elsewhere', 'silent'],
	['a pause that is on time though sound servers are silent for less', {paused: 2500, targetGap: 3000}, 'wait', 'on-time'],
	['the last moment for another server', {timeLeft: 1300}, 'resume-elsewhere', 'time-short'],
	['enough time for another server after the silence', {timeLeft: 1500}, 'wait', 'may-go-on'],
];

for (const [name, change, type, reason] of decisions) {
	test(`${name}: ${type}, ${reason}`, t => {
		t.deepEqual<unknown, unknown>(decideStalled({...paused, ...change}), {type, reason});
	});
}

test('other servers are looked through only if one is to be asked', t => {
	let asked = 0;
	const canGoElsewhere = (): boolean => {
		asked++;
		return true;
	};

	decideStalled({...paused, canGoElsewhere});
	t.is(asked, 0);
	decideStalled({...paused, canGoElsewhere, isServerInDoubt: true});
	t.is(asked, 1);
});
