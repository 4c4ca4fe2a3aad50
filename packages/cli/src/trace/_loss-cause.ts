import {type Decision} from './_decision.js';

/** The causes for which a request was lost or late. Each request counts for the first cause that applies; `valehitch trace` shows what happened last. */
export const lossCauses = {
	'instance-ended': 'its instance ended before it answered',
	'no-end': 'it has no last line: it was in progress at the end of the log, or the line was dropped',
	'caller-left': 'its caller disconnected before it was answered',
	'never-tried': 'it was sent to no server',
	'stream-broken': 'its stream broke off or stalled, and was resumed on another server or not at all',
	'server-silent': 'a server sent nothing before the timeout',
	'server-unreachable': 'no connection to a server could be opened',
	'server-turned-away': 'a server did not run it, or the connection was lost',
	'server-failed': 'a server answered with a failure',
	'larger-model': 'it was escalated to a larger model after the first answer',
	waited: 'it was queued at, or on the way to, the only server that it was sent to',
} as const;

/** The name of a cause. */
export type LossCause = keyof typeof lossCauses;

/** The log records about one request, and how to classify it. */
export type ClassifyLossOptions = {
	/** The decisions about the request, in chronological order. */
	readonly decisions: readonly Decision[];
	/** The start times of each instance on its wall clock, in milliseconds. */
	readonly startsByInstance: ReadonlyMap<string, readonly number[]>;
	/** The time to the response, or to the first event of a stream, after which the request counts as late, in milliseconds. */
	readonly late: number;
};

const minimumServerErrorStatus = 500;

/**
Determines why a request was lost or late.

@param options The log records about the request.
@returns The cause; undefined if the request was answered in time.
*/
export function classifyLoss({decisions: sortedDecisions, startsByInstance: startTimes, late}: ClassifyLossOptions): LossCause | undefined {
	const end = sortedDecisions.findLast(({kind}) => kind === 'request-ended');
	if (end === undefined) {
		return causeWithoutEnd(sortedDecisions.at(-1), startTimes);
	}

	const outcome = end.fields.get('outcome');
	if (outcome === 'caller-left') {
		return outcome;
	}

	if (outcome === 'answered' && numericField(end, 'status') >= minimumServerErrorStatus) {
		return 'server-failed';
	}

	const latency = end.fields.has('headAfter') ? numericField(end, 'headAfter') : numericField(end, 'duration');
	if (outcome === 'answered' && latency <= late) {
		return undefined;
	}

	return numericField(end, 'sends') === 0 && outcome !== 'answered' && !sortedDecisions.some(({kind}) => kind === 'request-attempt-ended') ? 'never-tried' : causeOfAttempts(sortedDecisions);
}

function causeWithoutEnd(last: Decision | undefined, starts: ClassifyLossOptions['startsByInstance']): LossCause {
	const hasRestarted = last !== undefined && (starts.get(last.instance) ?? []).some(at => at > last.at);
	return hasRestarted ? 'instance-ended' : 'no-end';
}

/** Returns the cause of the last failed attempt, resumption or escalation, because the request recovered from those before it. */
function causeOfAttempts(sortedDecisions: readonly Decision[]): LossCause {
	for (const {kind, fields} of sortedDecisions.toReversed()) {
		if (kind === 'request-resumed') {
			return 'stream-broken';
		}

		if (kind === 'request-attempt-ended') {
			return causeOfAttempt(fields.get('result'));
		}

		if (kind === 'request-escalated') {
			return 'larger-model';
		}
	}

	return 'waited';
}

function causeOfAttempt(result: string | undefined): LossCause {
	if (result === 'silent') {
		return 'server-silent';
	}

	return result === 'unreachable' ? 'server-unreachable' : 'server-turned-away';
}

/** Returns a numeric field of a record; 0 if the record doesn't have it, such as for a request that was never sent. */
function numericField({fields}: Decision, name: string): number {
	return Number(fields.get(name) ?? 0);
}
