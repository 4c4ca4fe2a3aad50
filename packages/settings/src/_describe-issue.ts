import {match, P} from 'ts-pattern';
import {type z} from 'zod';
import {describeValue} from './_describe-value.js';
import {type FieldPath, type Finding} from './finding.js';

type Issue = z.core.$ZodIssue;

const wantedPrefix = 'Wanted ';
const typeNames: ReadonlyMap<string, string> = new Map([
	['string', 'a string'],
	['number', 'a number'],
	['int', 'a whole number'],
	['boolean', 'true or false'],
	['array', 'a list'],
	['object', 'a mapping'],
	['record', 'a mapping'],
]);

/** Converts a schema issue to findings: one for each unrecognized key, or a single one for any other issue. */
export function describeIssue(issue: Issue): readonly Finding[] {
	const path = toFieldPath(issue.path);
	return match(issue)
		.with({code: 'unrecognized_keys'}, ({keys}) => keys.map(key => ({
			path: [...path, key], got: `the key ${JSON.stringify(key)}`, wanted: 'a known key', concernsKey: true,
		})))
		.with({code: 'invalid_key'}, ({issues}) => [{
			path, got: `the key ${JSON.stringify(String(path.at(-1)))}`, wanted: issues[0] ? describeWanted(issues[0]) : 'another key', concernsKey: true,
		}])
		.otherwise(other => [{path, got: describeValue(other.input, path), wanted: describeWanted(other)}]);
}

function toFieldPath(path: readonly PropertyKey[]): FieldPath {
	return path.map(step => typeof step === 'symbol' ? String(step) : step);
}

function describeWanted(issue: Issue): string {
	if (issue.message.startsWith(wantedPrefix)) {
		return issue.message.slice(wantedPrefix.length);
	}

	return match(issue)
		.with({code: 'invalid_type'}, ({expected}) => typeNames.get(expected) ?? expected)
		.with({code: 'invalid_value'}, ({values}) => `one of ${values.map(String).join(', ')}`)
		.with({code: 'too_small'}, ({minimum, inclusive, origin}) => describeSize(origin, `${inclusive ? 'at least' : 'more than'} ${minimum}`))
		.with({code: 'too_big'}, ({maximum, inclusive, origin}) => describeSize(origin, `${inclusive ? 'at most' : 'less than'} ${maximum}`))
		.with({code: 'invalid_format', prefix: P.string}, ({prefix}) => `a string that starts with ${JSON.stringify(prefix)}`)
		.otherwise(({message}) => message);
}

function describeSize(origin: string, bound: string): string {
	return match(origin)
		.with('string', () => `${bound} characters`)
		.with('array', () => `${bound} entries`)
		.otherwise(() => `a number of ${bound}`);
}
