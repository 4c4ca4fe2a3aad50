import {Buffer} from 'node:buffer';
import {Either, Left, Right} from 'purify-ts';
import {LineCounter, parseDocument as parseYaml, type Document} from 'yaml';
import {type z} from 'zod';
import {describeIssue} from './_describe-issue.js';
import {locate} from './_locate.js';
import {type DocumentProblem} from './document-problem.js';
import {type Finding} from './finding.js';
import {formatPath} from './format-path.js';

const defaultMaximumBytes = 1_048_576;
const maximumAliases = 100;

/** How a document is parsed. */
export type ParseDocumentOptions<Value> = {
	/** The file to name in problems. */
	readonly file: string;
	/** What the document must look like. */
	readonly schema: z.ZodType<Value>;
	/** The most bytes of the text in UTF-8; 1048576 by default. */
	readonly maximumBytes?: number | undefined;
	/** Checks that reach over several fields; they run once the schema holds. None by default. */
	readonly check?: ((value: Value) => readonly Finding[]) | undefined;
};

type Source = {
	readonly file: string;
	readonly lines: LineCounter;
};

type ParsedSource = Source & {readonly document: Document};

/**
Parses a YAML 1.2 or JSON document, without custom tags, and checks it against a schema.

@param text The text of the document.
@param options The file's name, the schema and further checks.
@returns The value, or every problem found, each with its line and column.
@example
```ts
parseDocument('port: x', {file: 'entry.yaml', schema: z.strictObject({port: z.int()})});
```
*/
export function parseDocument<Value>(text: string, options: ParseDocumentOptions<Value>): Either<readonly DocumentProblem[], Value> {
	const source: Source = {file: options.file, lines: new LineCounter()};
	return checkSize(text, options)
		.chain(() => parseText(text, source))
		.chain(parsed => toPlain(parsed).chain(plain => checkValue(plain, {...options, parsed})));
}

function checkSize(text: string, {file, maximumBytes = defaultMaximumBytes}: {file: string; maximumBytes?: number | undefined}): Either<readonly DocumentProblem[], void> {
	const bytes = Buffer.byteLength(text);
	return bytes > maximumBytes
		? Left([{
			file, path: '', line: 1, column: 1, got: `${bytes} bytes`, wanted: `at most ${maximumBytes} bytes`,
		}])
		: Right(undefined);
}

function parseText(text: string, source: Source): Either<readonly DocumentProblem[], ParsedSource> {
	return Either.encase(() => parseYaml(text, {
		lineCounter: source.lines, uniqueKeys: true, stringKeys: true, resolveKnownTags: false, prettyErrors: false, schema: 'core',
	}))
		.mapLeft(error => [malformed(source, {message: error.message, offset: 0})])
		.chain(document => {
			const problems = [...document.errors, ...document.warnings].map(({message, pos}) => malformed(source, {message, offset: pos[0]}));
			return problems.length > 0 ? Left(problems) : Right({...source, document});
		});
}

function toPlain(parsed: ParsedSource): Either<readonly DocumentProblem[], unknown> {
	return Either.encase((): unknown => parsed.document.toJS({maxAliasCount: maximumAliases}))
		.mapLeft(error => [malformed(parsed, {message: error.message, offset: 0})]);
}

function checkValue<Value>(plain: unknown, options: ParseDocumentOptions<Value> & {parsed: ParsedSource}): Either<readonly DocumentProblem[], Value> {
	const {schema, check, parsed} = options;
	const result = schema.safeParse(plain, {reportInput: true});
	const findings = result.success ? check?.(result.data) ?? [] : result.error.issues.flatMap(issue => describeIssue(issue));
	if (result.success && findings.length === 0) {
		return Right(result.data);
	}

	return Left(findings.map(finding => toProblem(parsed, finding)));
}

function toProblem(parsed: ParsedSource, finding: Finding): DocumentProblem {
	const {got, wanted, path} = finding;
	return {
		file: parsed.file, path: formatPath(path), ...position(parsed.lines, locate(parsed.document, finding)), got, wanted,
	};
}

function malformed(source: Source, {message, offset}: {message: string; offset: number}): DocumentProblem {
	return {
		file: source.file, path: '', ...position(source.lines, offset), got: `malformed YAML (${message})`, wanted: 'a well-formed document',
	};
}

function position(lines: LineCounter, offset: number): {line: number; column: number} {
	const {line, col} = lines.linePos(offset);
	return {line: Math.max(line, 1), column: Math.max(col, 1)};
}
