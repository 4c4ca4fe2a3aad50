import test from 'ava';
import {decideOverdue, type OverdueSend} from './decide-overdue.js';

const late: OverdueSend = {
	waited: 500, timeLeft: 5000, lateAfter: 200, patience: 1000, answerTime: 200, overtakenBy: 5, isResponsive: true, canGoElsewhere: true, hasAllowance: true, hasLastAllowance: true,
};

const decisions: ReadonlyArray<readonly [string, Partial<OverdueSend>, string, string]> = [
	['a send that others have overtaken', {}, 'send-beside', 'overtaken'],
	['a send that is not late', {waited: 100}, 'wait', 'not-late'],
	['a request that can go nowhere else', {canGoElsewhere: false, isResponsive: false}, 'wait', 'nowhere-else'],
	['a server that sends and accepts nothing', {
		waited: 100, isResponsive: false, overtakenBy: 0, hasAllowance: false, hasLastAllowance: false,
	}, 'send-beside', 'unresponsive'],
	['a server that was not checked', {isResponsive: undefined}, 'send-beside', 'overtaken'],
	['a send among others that are as late', {overtakenBy: 2}, 'wait', 'not-overtaken'],
	['a send that is late by any measure', {overtakenBy: 0, waited: 1000}, 'send-beside', 'late'],
	['the last moment for another send', {overtakenBy: 0, timeLeft: 390}, 'send-beside', 'time-short'],
	['a send after which no other one can end in time', {timeLeft: 150}, 'wait', 'no-time'],
	['a send while second sends have gained nothing', {hasAllowance: false}, 'wait', 'no-allowance'],
	['the last moment while second sends have gained nothing', {hasAllowance: false, timeLeft: 390}, 'send-beside', 'time-short'],
	['the last moment while no second send is left', {hasAllowance: false, hasLastAllowance: false, timeLeft: 390}, 'wait', 'no-allowance'],
];

for (const [name, change, type, reason] of decisions) {
	test(`${name}: ${type}, ${reason}`, t => {
		t.deepEqual<unknown, unknown>(decideOverdue({...late, ...change}), {type, reason});
	});
}
