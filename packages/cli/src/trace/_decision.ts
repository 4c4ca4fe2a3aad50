import {isMatching, P} from 'ts-pattern';

/** One line of the decision log of an instance. */
export type Decision = {
	readonly kind: string;
	readonly instance: string;
	/** Milliseconds of the instance's wall clock. */
	readonly at: number;
	/** The level in bunyan's numbers; 40 and above are failures. */
	readonly level: number;
	readonly request: string | undefined;
	/** What decided, with ages and versions, and the outcome. */
	readonly fields: ReadonlyMap<string, string>;
};

/** The lines of a log that are decisions, and how many were cut or left out. */
export type DecisionsRead = {
	readonly decisions: readonly Decision[];
	/** Lines that begin like a record and cannot be read, such as the torn last line of a killed process. */
	readonly unreadable: number;
};

const isRecord = isMatching({
	kind: P.string, instance: P.string, time: P.string, level: P.number,
});
/** What bunyan puts into every record, and what a decision has fields of its own for. */
const ownFields: ReadonlySet<string> = new Set(['name', 'hostname', 'pid', 'level', 'msg', 'time', 'v', 'kind', 'instance', 'zone', 'request']);

/**
Reads the decisions of a log; what stands before a record on its line, such as a collector's own time, is passed over.

@param text The log.
@returns The decisions in the order of the file.
*/
export function readDecisions(text: string): DecisionsRead {
	const decisions: Decision[] = [];
	let unreadable = 0;
	for (const line of text.split('\n')) {
		const begin = line.indexOf('{"name":');
		if (begin === -1) {
			continue;
		}

		const decision = readLine(line.slice(begin));
		if (decision === undefined) {
			unreadable++;
		} else {
			decisions.push(decision);
		}
	}

	return {decisions, unreadable};
}

function readLine(line: string): Decision | undefined {
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
		if (!ownFields.has(name)) {
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
