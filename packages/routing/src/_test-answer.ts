import {type Dispatch, textOf} from './_test-book.js';
import {type RequestEvent} from './request-event.js';

/** An event on its way to the machine, with the bytes of its piece. */
export type Message = {readonly event: RequestEvent; readonly bytes?: string};

type AnswerOptions = {
	/** Whether the answer is whole; otherwise it is cut short and ends in a fault or in silence. */
	readonly isSound: boolean;
	readonly next: () => number;
};

const longestPiece = 15;
const longestCut = 12;
/** One in this many answers pauses, and goes on. */
const silentShare = 8;

/** What a back end that runs an attempt sends: head, pieces of random length, and the end. */
export function answerMessages({attempt, target, resumeFrom}: Dispatch, {isSound, next}: AnswerOptions): Message[] {
	const text = textOf(target);
	const messages: Message[] = [{event: {type: 'attempt-head', attempt}}];
	const end = isSound ? text.length : Math.min(text.length, resumeFrom + (next() % longestCut));
	for (let offset = resumeFrom; offset < end;) {
		const bytes = text.slice(offset, Math.min(end, offset + 1 + (next() % longestPiece)));
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
		// The server has accepted the request and stalls.
		undefined,
	];
	const last = isSound ? complete : faults[next() % faults.length];
	const whole = last === undefined ? messages : [...messages, {event: last}];
	return next() % silentShare === 0 ? whole.toSpliced(next() % (whole.length + 1), 0, {event: {type: 'attempt-silent', attempt}}) : whole;
}
