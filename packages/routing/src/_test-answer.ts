import {type Dispatch, textOf} from './_test-request-audit.js';
import {type RequestEvent} from './request-event.js';

/** A pending event for the state machine, with the bytes of its piece. */
export type PendingMessage = {readonly event: RequestEvent; readonly bytes?: string};

type AnswerOptions = {
	/** Whether the answer is complete; otherwise it is truncated and ends with a fault or a stall. */
	readonly isComplete: boolean;
	readonly next: () => number;
};

const maximumPieceLength = 15;
const maximumTruncatedLength = 12;
/** One in this many answers stalls temporarily. */
const stallOdds = 8;

/** Returns the events of an attempt that a backend server runs: the head, pieces of random length, and the end. */
export function answerMessages({attempt, target, resumeFrom}: Dispatch, {isComplete, next}: AnswerOptions): PendingMessage[] {
	const text = textOf(target);
	const messages: PendingMessage[] = [{event: {type: 'attempt-head', attempt}}];
	const end = isComplete ? text.length : Math.min(text.length, resumeFrom + (next() % maximumTruncatedLength));
	for (let offset = resumeFrom; offset < end;) {
		const bytes = text.slice(offset, Math.min(end, offset + 1 + (next() % maximumPieceLength)));
		const event = {
			type: 'attempt-piece', attempt, offset, length: bytes.length, tokens: 1,
		} as const;
		messages.push({event, bytes});
		offset += bytes.length;
	}

	const complete = {
		type: 'attempt-complete', attempt, offset: text.length, usage: {input: 7, output: 9},
	} as const;
	const faults: ReadonlyArray<RequestEvent | undefined> = [
		complete,
		{type: 'attempt-broken', attempt, message: 'Cut'},
		{type: 'attempt-failed', attempt, message: 'Failed'},
		{type: 'attempt-silent', attempt},
		// No event: the server has accepted the request and stalls.
		undefined,
	];
	const last = isComplete ? complete : faults[next() % faults.length];
	const whole = last === undefined ? messages : [...messages, {event: last}];
	return next() % stallOdds === 0 ? whole.toSpliced(next() % (whole.length + 1), 0, {event: {type: 'attempt-silent', attempt}}) : whole;
}
