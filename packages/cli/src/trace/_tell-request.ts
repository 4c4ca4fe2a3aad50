import {type Decision} from './_decision.js';

const failureLevel = 40;
/** What an instance came to believe this long before a request ended may be its cause, in milliseconds. */
const beforeMilliseconds = 10_000;
/** The last lines about beliefs that are told. */
const mostBeliefs = 12;

/**
Tells what happened to a request, the cause first.

@param request The request's id.
@param decisions The decisions of all instances.
@returns The story, a line each; empty where no log has the request.
*/
export function tellRequest(request: string, decisions: readonly Decision[]): readonly string[] {
	const own = decisions.filter(decision => decision.request === request).toSorted((one, other) => one.at - other.at);
	const [first] = own;
	const last = own.at(-1);
	if (first === undefined || last === undefined) {
		return [];
	}

	const beliefs = beliefsBefore(decisions, {own, until: last.at});
	return [
		`Cause: ${causeOf(own, decisions)}`,
		'',
		'What happened to it:',
		...own.map(decision => describe(decision, first.at)),
		...(beliefs.length === 0 ? [] : ['', `What its instances came to believe in the ${beforeMilliseconds / 1000} s before:`]),
		...beliefs.map(decision => describe(decision, first.at)),
	];
}

/** The refusal, or else the last failure of a send, or else how it ended. */
function causeOf(own: readonly Decision[], all: readonly Decision[]): string {
	const failures = own.filter(({level}) => level >= failureLevel);
	const ended = own.findLast(({kind}) => kind === 'request-ended' || kind === 'request-refused');
	const sent = failures.findLast(({kind}) => kind === 'request-attempt-ended' || kind === 'request-resumed');
	const outcome = ended?.fields.get('outcome') ?? ended?.kind ?? endOfInstance(own.at(-1), all);
	const reason = ended?.fields.get('reason') ?? sent?.fields.get('reason') ?? ended?.fields.get('error');
	return reason === undefined ? outcome : `${outcome}: ${reason}`;
}

/** A request without an end was in progress when its instance ended, or its last line was left out. */
function endOfInstance(last: Decision | undefined, all: readonly Decision[]): string {
	const restart = all.find(({kind, instance, at}) => kind === 'process-started' && instance === last?.instance && at > last.at);
	return last === undefined || restart === undefined
		? 'it did not end in these logs'
		: `its instance ended before it answered, and started again ${restart.at - last.at} ms after the last line about it`;
}

/** Lines about servers, leases, leaders and configurations, of the instances that handled the request. */
function beliefsBefore(decisions: readonly Decision[], {own, until}: {readonly own: readonly Decision[]; readonly until: number}): readonly Decision[] {
	const instances = new Set(own.map(({instance}) => instance));
	const servers = new Set(own.flatMap(({fields}) => fields.get('server') ?? []));
	const isNear = ({at}: Decision): boolean => at <= until && at >= until - beforeMilliseconds;
	const concerns = ({fields}: Decision): boolean => {
		const server = fields.get('server');
		return server === undefined || servers.has(server);
	};

	return decisions
		.filter(decision => decision.request === undefined && instances.has(decision.instance) && isNear(decision) && concerns(decision))
		.toSorted((one, other) => one.at - other.at)
		.slice(-mostBeliefs);
}

function describe({at, instance, kind, fields}: Decision, from: number): string {
	const details = [...fields].map(([name, value]) => `${name}=${value}`).join(' ').replaceAll(/\p{Cc}/gv, '?');
	return `${String(at - from).padStart(7)} ms  ${instance}  ${kind}  ${details}`;
}
