import {type Decision} from './_decision.js';

/** Why a request was not answered well and in time, the first that applies: what happened last is told by `valehitch trace`. */
export const lossCauses = {
	'instance-ended': 'its instance ended before it answered',
	'no-end': 'it has no last line: in progress at the end of the log, or left out',
	'caller-left': 'its caller left before it was answered',
	'never-tried': 'it was sent to no server',
	'stream-broken': 'its stream broke off or stalled, and went on elsewhere or not at all',
	'server-silent': 'a server gave no word and was given up',
	'server-unreachable': 'no connection to a server opened',
	'server-turned-away': 'a server did not run it, or its connection was lost',
	'server-failed': 'a server answered with a failure',
	'larger-model': 'a larger model was asked after the first answer',
	waited: 'it waited in or before the one server that it was sent to',
} as const;

/** One cause of the closed list. */
export type LossCause = keyof typeof lossCauses;

/** What is known of one request. */
export type LossOptions = {
	/** The lines about it, in the order of time. */
	readonly own: readonly Decision[];
	/** When each instance started, in milliseconds of its wall clock. */
	readonly starts: ReadonlyMap<string, readonly number[]>;
	/** After this time to the answer, or to the first event of a stream, it counts as late, in milliseconds. */
	readonly late: number;
};

const firstServerError = 500;

/**
Tells why a request was lost or late.

@param options What is known of it.
@returns The cause; undefined where it was answered in time.
*/
export function lossCause({own, starts, late}: LossOptions): LossCause | undefined {
	const end = own.findLast(({kind}) => kind === 'request-ended');
	if (end === undefined) {
		return causeWithoutEnd(own.at(-1), starts);
	}

	const outcome = end.fields.get('outcome');
	if (outcome === 'caller-left') {
		return outcome;
	}

	if (outcome === 'answered' && numberOf(end, 'status') >= firstServerError) {
		return 'server-failed';
	}

	const time = end.fields.has('headAfter') ? numberOf(end, 'headAfter') : numberOf(end, 'duration');
	if (outcome === 'answered' && time <= late) {
		return undefined;
	}

	return numberOf(end, 'sends') === 0 && outcome !== 'answered' && !own.some(({kind}) => kind === 'request-attempt-ended') ? 'never-tried' : causeOfSends(own);
}

function causeWithoutEnd(last: Decision | undefined, starts: LossOptions['starts']): LossCause {
	const hasStartedAgain = last !== undefined && (starts.get(last.instance) ?? []).some(at => at > last.at);
	return hasStartedAgain ? 'instance-ended' : 'no-end';
}

/** The last thing that went wrong with a send, since what came before it was made up for. */
function causeOfSends(own: readonly Decision[]): LossCause {
	for (const {kind, fields} of own.toReversed()) {
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

/** A number of a line; 0 where the line has none, as lines of requests without sends have. */
function numberOf({fields}: Decision, name: string): number {
	return Number(fields.get(name) ?? 0);
}
