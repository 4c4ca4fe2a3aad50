import test from 'ava';
import {classifyAnswer} from './classify-answer.js';
import {testAnswerHead} from './_test-answer-head.js';

for (const [name, changes, wanted] of [
	['a signed success', {}, 'good'],
	['a success without a signature', {isSigned: false}, 'unverified'],
	['a success with an encoded body', {isEncoded: true}, 'unverified'],
	['a success for another request', {requestId: 'b2'}, 'other-request'],
	['a success without a request id', {requestId: undefined}, 'other-request'],
	['a rejection for another request', {status: 503, requestId: 'b2', isNotRun: true}, 'other-request'],
	['a rejection without a request id', {status: 503, requestId: undefined, isNotRun: true}, 'not-run'],
	['a failure', {status: 500}, 'failed'],
	['a rejection that does not state that the request was not run', {status: 503}, 'failed'],
] as const) {
	test(`${name} is ${wanted}`, t => {
		t.is(classifyAnswer(testAnswerHead(changes), 'a1'), wanted);
	});
}
