import {readFile} from 'node:fs/promises';
import {type Failure, failure} from '@valehitch/core';
import {type Either, EitherAsync} from 'purify-ts';
import {type Decision, parseDecisions} from './_decision.js';

/** Called for each file with unreadable lines. */
export type OnUnreadable = (file: string, lines: number) => void;

/**
Reads the decisions of log files, one file after another.

@param files The paths of the files.
@param onUnreadable Called with the number of unreadable lines of a file.
@returns The decisions in the order of the files, or `not-found` for the first file that can't be read.
*/
export async function readDecisionFiles(files: readonly string[], onUnreadable: OnUnreadable): Promise<Either<Failure, readonly Decision[]>> {
	return EitherAsync<Failure, readonly Decision[]>(async ({fromPromise}) => {
		const allDecisions: Decision[] = [];
		for (const file of files) {
			const text = await fromPromise(readText(file));
			const {decisions, unreadable} = parseDecisions(text);
			for (const decision of decisions) {
				allDecisions.push(decision);
			}

			if (unreadable > 0) {
				onUnreadable(file, unreadable);
			}
		}

		return allDecisions;
	}).run();
}

async function readText(file: string): Promise<Either<Failure, string>> {
	const text = await EitherAsync<Error, string>(async () => readFile(file, 'utf8')).run();
	return text.mapLeft(({message}) => failure('not-found', `Got an error (${message}), wanted a readable log file`));
}
