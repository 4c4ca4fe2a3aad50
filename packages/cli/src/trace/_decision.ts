import {isMatching, P} from 'ts-pattern';

/** One record of the decision log of an instance. */
export type Decision = {
	readonly kind: string;
	readonly instance: string;
	/** The time on the wall clock of the instance, in milliseconds. */
	readonly at: number;
	/** The bunyan level; 40 and above are failures. */
	readonly level: number;
	readonly request: string | undefined;
	/** The inputs of the decision, with their ages and versions, and the outcome. */
	readonly fields: ReadonlyMap<string, string>;
};

/** The decisions of a log, and the number of unreadable lines. */
export type ParsedDecisions = {
	readonly decisions: readonly Decision[];
	/** The number of lines that begin like a record but can't be parsed, such as the truncated last line of a killed process. */
	readonly unreadable: number;
};

const isRecord = isMatching({
	kind: P.string, instance: P.string, time: P.string, level: P.number,
});
/** The fields that bunyan adds to every record, and those that have members of their own in `Decision`. */
const handledFields: ReadonlySet<string> = new Set(['name', 'hostname', 'pid', 'level', 'msg', 'time', 'v', 'kind', 'instance', 'zone', 'request']);

/**
Parses the decisions of a log. Text before a record on its line, such as the timestamp of a log collector, is skipped.

@param text The contents of the log.
@returns The decisions in the order of the log.
*/
export function parseDecisions(text: string): ParsedDecisions {
	const decisions: Decision[] = [];
	let unreadable = 0;
	for (const line of text.split('\n')) {
		const start = line.indexOf('{"name":');
		if (start === -1) {
			continue;
		}

		const decision = parseLine(line.slice(start));
		if (decision === undefined) {
			unreadable++;
		} else {
			decisions.push(decision);
		}
	}

	return {decisions, unreadable};
}

function parseLine(line: string): Decision | undefined {
	try {
		const record: unknown = JSON.parse(line);
		return isRecord(record) ? toDecision(record) : undefined;
	} catch {
		return undefined;
	}
}

type RecordFields = Readonly<Record<string, unknown>> & {
	readonly kind: string;
	readonly instance: string;
	readonly time: string;
	readonly level: number;
};

function toDecision(record: RecordFields): Decision {
	const fields = new Map<string, string>();
	for (const [name, value] of Object.entries(record)) {
		if (!handledFields.has(name)) {
			fields.set(name, typeof value === 'string' ? value : JSON.stringify(value));
		}
	}

	return {
		kind: record.kind,
		instance: record.instance,
		at: Date.parse(record.time),
		level: record.level,
		request: typeof record.request === 'string' ? record.request : undefined,
		fields,
	};
}
