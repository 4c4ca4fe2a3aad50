import {type Decision} from './_decision.js';
import {groupBy} from './_group-by.js';
import {type LossCause, classifyLoss, lossCauses} from './_loss-cause.js';

/** The requests that were lost or late for the same cause. */
export type LossRow = {
	readonly cause: LossCause;
	readonly meaning: string;
	readonly requests: number;
	/** The share of all requests, in percent with one decimal. */
	readonly percent: number;
	/** The number of requests by route, in descending order. */
	readonly routes: string;
	/** The ids of some of the requests, for `valehitch trace`. */
	readonly examples: string;
};

/** The use of one model by one route. */
export type ModelRow = {
	readonly route: string;
	readonly model: string;
	/** The number of streams that the model completed. */
	readonly answered: number;
	/** The mean confidence that the model reported for them, from 0 to 100. */
	readonly confidence: number;
	/** The number of its answers that were replaced by a larger model's. */
	readonly steppedOn: number;
};

/** The losses by cause, and the use of models by route. */
export type LossSummary = {
	readonly requests: number;
	readonly losses: readonly LossRow[];
	readonly models: readonly ModelRow[];
};

const maximumExamples = 3;
const unknownName = '?';

/**
Counts the lost and late requests by cause, and the use of models by route.

@param decisions The decisions of all instances.
@param options `late`: the time after which a response counts as late, in milliseconds.
@returns The counts, with the most frequent cause first.
*/
export function summarizeLosses(decisions: readonly Decision[], {late}: {readonly late: number}): LossSummary {
	const byRequest = groupBy(decisions.filter(({request}) => request !== undefined), ({request}) => request);
	const startTimes = startTimesByInstance(decisions);
	const lastLineByCause = new Map<LossCause, Decision[]>();
	let requests = 0;
	for (const lines of byRequest.values()) {
		const sortedLines = lines.toSorted((left, right) => left.at - right.at);
		if (sortedLines.some(({kind}) => kind === 'request-refused')) {
			// Requests refused as invalid, such as for a wrong key, don't count as lost.
			continue;
		}

		requests++;
		const cause = classifyLoss({decisions: sortedLines, startsByInstance: startTimes, late});
		if (cause !== undefined) {
			lastLineByCause.set(cause, [...lastLineByCause.get(cause) ?? [], sortedLines.at(-1)!]);
		}
	}

	const losses = [...lastLineByCause].map(([cause, lines]) => toLossRow(cause, {lines, requests})).toSorted((left, right) => right.requests - left.requests);
	return {requests, losses, models: modelRows(decisions)};
}

function startTimesByInstance(decisions: readonly Decision[]): ReadonlyMap<string, readonly number[]> {
	const startTimes = new Map<string, number[]>();
	for (const {kind, instance, at} of decisions) {
		if (kind === 'process-started') {
			startTimes.set(instance, [...startTimes.get(instance) ?? [], at]);
		}
	}

	return startTimes;
}

function toLossRow(cause: LossCause, {lines, requests}: {readonly lines: readonly Decision[]; readonly requests: number}): LossRow {
	const routes = groupBy(lines, ({fields}) => fields.get('route') ?? unknownName);
	return {
		cause,
		meaning: lossCauses[cause],
		requests: lines.length,
		percent: Math.round(1000 * lines.length / requests) / 10,
		routes: [...routes].toSorted(([, left], [, right]) => right.length - left.length).map(([route, {length}]) => `${route} ${length}`).join(', '),
		examples: lines.slice(0, maximumExamples).map(({request}) => request).join(' '),
	};
}

function modelRows(decisions: readonly Decision[]): readonly ModelRow[] {
	const rows = new Map<string, ModelRow>();
	const routes = new Map<string | undefined, string>();
	for (const {kind, request, fields} of decisions) {
		if (kind === 'request-ended') {
			routes.set(request, fields.get('route') ?? unknownName);
		}
	}

	const updateRow = (route: string, {model, update}: {readonly model: string; readonly update: (row: ModelRow) => Partial<ModelRow>}): void => {
		const key = `${route} ${model}`;
		const row = rows.get(key) ?? {
			route, model, answered: 0, confidence: 0, steppedOn: 0,
		};
		rows.set(key, {...row, ...update(row)});
	};

	for (const {kind, request, fields} of decisions) {
		const route = routes.get(request) ?? unknownName;
		const confidence = Number(fields.get('confidence') ?? Number.NaN);
		if (kind === 'request-escalated') {
			updateRow(route, {model: fields.get('from') ?? unknownName, update: ({steppedOn}) => ({steppedOn: steppedOn + 1})});
		} else if (kind === 'request-ended' && fields.get('outcome') === 'answered' && !Number.isNaN(confidence)) {
			updateRow(route, {
				model: fields.get('model') ?? unknownName,
				update: ({answered, confidence: mean}) => ({answered: answered + 1, confidence: mean + ((confidence - mean) / (answered + 1))}),
			});
		}
	}

	return [...rows.values()]
		.map(row => ({...row, confidence: Math.round(row.confidence)}))
		.toSorted((left, right) => left.route.localeCompare(right.route) || right.answered - left.answered);
}
