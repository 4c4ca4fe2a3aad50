import {type Decision} from './_decision.js';

const failureLevel = 40;
/** State changes that an instance observed within this time before a request ended may be the cause of its failure. */
const observationWindowMilliseconds = 10_000;
/** The number of state changes to report; the most recent ones are kept. */
const maximumObservations = 12;

/**
Reports what happened to a request, starting with the cause.

@param request The request's id.
@param decisions The decisions of all instances.
@returns The lines of the report; empty if no log has the request.
*/
export function traceRequest(request: string, decisions: readonly Decision[]): readonly string[] {
	const requestDecisions = decisions.filter(decision => decision.request === request).toSorted((left, right) => left.at - right.at);
	const [first] = requestDecisions;
	const last = requestDecisions.at(-1);
	if (first === undefined || last === undefined) {
		return [];
	}

	const observations = observationsBefore(decisions, {requestDecisions, until: last.at});
	return [
		`Cause: ${causeOf(requestDecisions, decisions)}`,
		'',
		'Events of the request:',
		...requestDecisions.map(decision => formatDecision(decision, first.at)),
		...(observations.length === 0 ? [] : ['', `State changes that its instances observed in the ${observationWindowMilliseconds / 1000} s before its last event:`]),
		...observations.map(decision => formatDecision(decision, first.at)),
	];
}

/** Formats the outcome of the request, with the reason for the refusal, else the reason of the last failed attempt, else the error. */
function causeOf(requestDecisions: readonly Decision[], allDecisions: readonly Decision[]): string {
	const failures = requestDecisions.filter(({level}) => level >= failureLevel);
	const ended = requestDecisions.findLast(({kind}) => kind === 'request-ended' || kind === 'request-refused');
	const failedAttempt = failures.findLast(({kind}) => kind === 'request-attempt-ended' || kind === 'request-resumed');
	const outcome = ended?.fields.get('outcome') ?? ended?.kind ?? outcomeWithoutEnd(requestDecisions.at(-1), allDecisions);
	const reason = ended?.fields.get('reason') ?? failedAttempt?.fields.get('reason') ?? ended?.fields.get('error');
	return reason === undefined ? outcome : `${outcome}: ${reason}`;
}

/** A request without a final record was in progress when its instance ended, or the record was dropped. */
function outcomeWithoutEnd(last: Decision | undefined, allDecisions: readonly Decision[]): string {
	const restart = allDecisions.find(({kind, instance, at}) => kind === 'process-started' && instance === last?.instance && at > last.at);
	return last === undefined || restart === undefined
		? 'these logs have no end of the request'
		: `its instance ended before it answered, and started again ${restart.at - last.at} ms after the last line about it`;
}

/** Returns the most recent records about servers, leases, leaders and configurations of the instances that handled the request; of servers, only those that the request was sent to. */
function observationsBefore(decisions: readonly Decision[], {requestDecisions, until}: {readonly requestDecisions: readonly Decision[]; readonly until: number}): readonly Decision[] {
	const instances = new Set(requestDecisions.map(({instance}) => instance));
	const servers = new Set(requestDecisions.flatMap(({fields}) => fields.get('server') ?? []));
	const isInWindow = ({at}: Decision): boolean => at <= until && at >= until - observationWindowMilliseconds;
	const isRelevant = ({fields}: Decision): boolean => {
		const server = fields.get('server');
		return server === undefined || servers.has(server);
	};

	return decisions
		.filter(decision => decision.request === undefined && instances.has(decision.instance) && isInWindow(decision) && isRelevant(decision))
		.toSorted((left, right) => left.at - right.at)
		.slice(-maximumObservations);
}

function formatDecision({at, instance, kind, fields}: Decision, startMilliseconds: number): string {
	const details = [...fields].map(([name, value]) => `${name}=${value}`).join(' ').replaceAll(/\p{Cc}/gv, '?');
	return `${String(at - startMilliseconds).padStart(7)} ms  ${instance}  ${kind}  ${details}`;
}
