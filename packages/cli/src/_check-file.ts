import {readFile} from 'node:fs/promises';
import {type Configuration} from '@valehitch/core';
import {compileCondition} from '@valehitch/policy';
import {
	detectDocumentKind, parseConfiguration, parseSettings, type DocumentProblem,
} from '@valehitch/settings';
import {EitherAsync, Left, type Either} from 'purify-ts';
import {match} from 'ts-pattern';

type Problems = readonly DocumentProblem[];

/** Reads and validates a settings file or a configuration; the top-level keys tell which of the two it is. */
export async function checkFile(file: string): Promise<Either<Problems, unknown>> {
	const text = await readText(file);
	return text.chain(content => match(detectDocumentKind(content))
		.returnType<Either<Problems, unknown>>()
		.with('settings', () => parseSettings(content, file))
		.with('configuration', () => checkConfiguration(content, file))
		.with(undefined, () => Left([fileProblem(file, {
			got: 'a document whose top-level keys match neither kind',
			wanted: 'the settings of a daemon (instance, listen, control) or a configuration (models, services, workspaces)',
		})]))
		.exhaustive());
}

/** Reads and validates a configuration. */
export async function readConfiguration(file: string): Promise<Either<Problems, Configuration>> {
	const text = await readText(file);
	return text.chain(content => checkConfiguration(content, file));
}

function checkConfiguration(text: string, file: string): Either<Problems, Configuration> {
	return parseConfiguration(text, file, {checkCondition: compileCondition});
}

async function readText(file: string): Promise<Either<Problems, string>> {
	return EitherAsync<Error, string>(async () => readFile(file, 'utf8'))
		.mapLeft(error => [fileProblem(file, {got: `an error (${error.message})`, wanted: 'a readable file'})])
		.run();
}

function fileProblem(file: string, {got, wanted}: {got: string; wanted: string}): DocumentProblem {
	return {
		file, path: '', line: 1, column: 1, got, wanted,
	};
}
