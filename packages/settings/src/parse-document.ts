import {Buffer} from 'node:buffer';
import {Either, Left, Right} from 'purify-ts';
import {LineCounter, parseDocument as parseYaml, type Document} from 'yaml';
import {type z} from 'zod';
import {describeIssue} from './_describe-issue.js';
import {findOffset} from './_find-offset.js';
import {type DocumentProblem} from './document-problem.js';
import {type Finding} from './finding.js';
import {formatPath} from './format-path.js';

const defaultMaximumBytes = 1_048_576;
const maximumAliasExpansions = 100;

/** Options for `parseDocument`. */
export type ParseDocumentOptions<Value> = {
	/** The file name to report in problems. */
	readonly file: string;
	/** The schema that the document must match. */
	readonly schema: z.ZodType<Value>;
	/** The maximum size of the text in UTF-8 bytes; 1048576 by default. */
	readonly maximumBytes?: number | undefined;
	/** Checks constraints across fields; called only if the document matches the schema. None by default. */
	readonly check?: ((value: Value) => readonly Finding[]) | undefined;
};

type DocumentSource = {
	readonly file: string;
	readonly lineCounter: LineCounter;
};

type ParsedSource = DocumentSource & {readonly document: Document};

/**
Parses a YAML 1.2 or JSON document without custom tags and validates it against a schema.

@param text The text of the document.
@param options The file name, the schema and further checks.
@returns The value, or all problems found with their line and column.
@example
```ts
parseDocument('port: x', {file: 'entry.yaml', schema: z.strictObject({port: z.int()})});
```
*/
export function parseDocument<Value>(text: string, options: ParseDocumentOptions<Value>): Either<readonly DocumentProblem[], Value> {
	const source: DocumentSource = {file: options.file, lineCounter: new LineCounter()};
	return checkSize(text, options)
		.chain(() => parseText(text, source))
		.chain(parsed => toPlainValue(parsed).chain(plain => checkValue(plain, {...options, parsed})));
}

function checkSize(text: string, {file, maximumBytes = defaultMaximumBytes}: {file: string; maximumBytes?: number | undefined}): Either<readonly DocumentProblem[], void> {
	const bytes = Buffer.byteLength(text);
	return bytes > maximumBytes
		? Left([{
			file, path: '', line: 1, column: 1, got: `${bytes} bytes`, wanted: `at most ${maximumBytes} bytes`,
		}])
		: Right(undefined);
}

function parseText(text: string, source: DocumentSource): Either<readonly DocumentProblem[], ParsedSource> {
	return Either.encase(() => parseYaml(text, {
		lineCounter: source.lineCounter, uniqueKeys: true, stringKeys: true, resolveKnownTags: false, prettyErrors: false, schema: 'core',
	}))
		.mapLeft(error => [malformedYaml(source, {message: error.message, offset: 0})])
		.chain(document => {
			const problems = [...document.errors, ...document.warnings].map(({message, pos}) => malformedYaml(source, {message, offset: pos[0]}));
			return problems.length > 0 ? Left(problems) : Right({...source, document});
		});
}

function toPlainValue(parsed: ParsedSource): Either<readonly DocumentProblem[], unknown> {
	return Either.encase((): unknown => parsed.document.toJS({maxAliasCount: maximumAliasExpansions}))
		.mapLeft(error => [malformedYaml(parsed, {message: error.message, offset: 0})]);
}

function checkValue<Value>(plainValue: unknown, options: ParseDocumentOptions<Value> & {parsed: ParsedSource}): Either<readonly DocumentProblem[], Value> {
	const {schema, check, parsed} = options;
	const result = schema.safeParse(plainValue, {reportInput: true});
	const findings = result.success ? check?.(result.data) ?? [] : result.error.issues.flatMap(issue => describeIssue(issue));
	if (result.success && findings.length === 0) {
		return Right(result.data);
	}

	return Left(findings.map(finding => toDocumentProblem(parsed, finding)));
}

function toDocumentProblem(parsed: ParsedSource, finding: Finding): DocumentProblem {
	const {got, wanted, path} = finding;
	return {
		file: parsed.file, path: formatPath(path), ...toPosition(parsed.lineCounter, findOffset(parsed.document, finding)), got, wanted,
	};
}

function malformedYaml(source: DocumentSource, {message, offset}: {message: string; offset: number}): DocumentProblem {
	return {
		file: source.file, path: '', ...toPosition(source.lineCounter, offset), got: `malformed YAML (${message})`, wanted: 'a well-formed document',
	};
}

function toPosition(lineCounter: LineCounter, offset: number): {line: number; column: number} {
	const {line, col} = lineCounter.linePos(offset);
	return {line: Math.max(line, 1), column: Math.max(col, 1)};
}
