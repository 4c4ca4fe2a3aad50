import {type Decision} from './_decision.js';
import {groupBy} from './_group-by.js';
import {type LossCause, lossCause, lossCauses} from './_loss-cause.js';

/** The requests that were lost or late for one cause. */
export type LossRow = {
	readonly cause: LossCause;
	readonly meaning: string;
	readonly requests: number;
	/** The share of all requests, in percent with one decimal. */
	readonly percent: number;
	/** Requests by route, the most first. */
	readonly routes: string;
	/** Some of them, for `valehitch trace`. */
	readonly examples: string;
};

/** What the models of a route did. */
export type ModelRow = {
	readonly route: string;
	readonly model: string;
	/** Streams that it answered whole. */
	readonly answered: number;
	/** Its mean opinion of them, from 0 to 100. */
	readonly confidence: number;
	/** Answers of it that were dropped for a larger model's. */
	readonly steppedOn: number;
};

/** The losses of some logs, and what its models did. */
export type LossSummary = {
	readonly requests: number;
	readonly losses: readonly LossRow[];
	readonly models: readonly ModelRow[];
};

const mostExamples = 3;
const unknown = '?';

/**
Adds up the requests that were lost or late by cause, and the use of models by route.

@param decisions The decisions of all instances.
@param options `late`: the time after which an answer counts as late, in milliseconds.
@returns The sums, the most frequent cause first.
*/
export function sumLosses(decisions: readonly Decision[], {late}: {readonly late: number}): LossSummary {
	const byRequest = groupBy(decisions.filter(({request}) => request !== undefined), ({request}) => request);
	const starts = startsOf(decisions);
	const lost = new Map<LossCause, Decision[]>();
	let requests = 0;
	for (const lines of byRequest.values()) {
		const own = lines.toSorted((one, other) => one.at - other.at);
		if (own.some(({kind}) => kind === 'request-refused')) {
			// Refused for what it asked, such as a wrong key; nothing was lost.
			continue;
		}

		requests++;
		const cause = lossCause({own, starts, late});
		if (cause !== undefined) {
			lost.set(cause, [...lost.get(cause) ?? [], own.at(-1)!]);
		}
	}

	const losses = [...lost].map(([cause, lines]) => toRow(cause, {lines, requests})).toSorted((one, other) => other.requests - one.requests);
	return {requests, losses, models: modelRows(decisions)};
}

function startsOf(decisions: readonly Decision[]): ReadonlyMap<string, readonly number[]> {
	const starts = new Map<string, number[]>();
	for (const {kind, instance, at} of decisions) {
		if (kind === 'process-started') {
			starts.set(instance, [...starts.get(instance) ?? [], at]);
		}
	}

	return starts;
}

function toRow(cause: LossCause, {lines, requests}: {readonly lines: readonly Decision[]; readonly requests: number}): LossRow {
	const routes = groupBy(lines, ({fields}) => fields.get('route') ?? unknown);
	return {
		cause,
		meaning: lossCauses[cause],
		requests: lines.length,
		percent: Math.round(1000 * lines.length / requests) / 10,
		routes: [...routes].toSorted(([, one], [, other]) => other.length - one.length).map(([route, {length}]) => `${route} ${length}`).join(', '),
		examples: lines.slice(0, mostExamples).map(({request}) => request).join(' '),
	};
}

function modelRows(decisions: readonly Decision[]): readonly ModelRow[] {
	const rows = new Map<string, ModelRow>();
	const routes = new Map<string | undefined, string>();
	for (const {kind, request, fields} of decisions) {
		if (kind === 'request-ended') {
			routes.set(request, fields.get('route') ?? unknown);
		}
	}

	const change = (route: string, {model, add}: {readonly model: string; readonly add: (row: ModelRow) => Partial<ModelRow>}): void => {
		const key = `${route} ${model}`;
		const row = rows.get(key) ?? {
			route, model, answered: 0, confidence: 0, steppedOn: 0,
		};
		rows.set(key, {...row, ...add(row)});
	};

	for (const {kind, request, fields} of decisions) {
		const route = routes.get(request) ?? unknown;
		const confidence = Number(fields.get('confidence') ?? Number.NaN);
		if (kind === 'request-escalated') {
			change(route, {model: fields.get('from') ?? unknown, add: ({steppedOn}) => ({steppedOn: steppedOn + 1})});
		} else if (kind === 'request-ended' && fields.get('outcome') === 'answered' && !Number.isNaN(confidence)) {
			change(route, {
				model: fields.get('model') ?? unknown,
				add: ({answered, confidence: mean}) => ({answered: answered + 1, confidence: mean + ((confidence - mean) / (answered + 1))}),
			});
		}
	}

	return [...rows.values()]
		.map(row => ({...row, confidence: Math.round(row.confidence)}))
		.toSorted((one, other) => one.route.localeCompare(other.route) || other.answered - one.answered);
}
