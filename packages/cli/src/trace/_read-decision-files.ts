import {readFile} from 'node:fs/promises';
import {type Failure, failure} from '@valehitch/core';
import {type Either, EitherAsync} from 'purify-ts';
import {type Decision, readDecisions} from './_decision.js';

/** Told of each file in which lines could not be read. */
export type OnUnreadable = (file: string, lines: number) => void;

/**
Reads the decisions of log files, one file after the other.

@param files The files.
@param onUnreadable Told of lines that cannot be read.
@returns The decisions in the order of the files; `not-found` for the first file that cannot be read.
*/
export async function readDecisionFiles(files: readonly string[], onUnreadable: OnUnreadable): Promise<Either<Failure, readonly Decision[]>> {
	return EitherAsync<Failure, readonly Decision[]>(async ({fromPromise}) => {
		const all: Decision[] = [];
		for (const file of files) {
			const text = await fromPromise(readText(file));
			const {decisions, unreadable} = readDecisions(text);
			for (const decision of decisions) {
				all.push(decision);
			}

			if (unreadable > 0) {
				onUnreadable(file, unreadable);
			}
		}

		return all;
	}).run();
}

async function readText(file: string): Promise<Either<Failure, string>> {
	const text = await EitherAsync<Error, string>(async () => readFile(file, 'utf8')).run();
	return text.mapLeft(({message}) => failure('not-found', `Got an error (${message}), wanted a log file that can be read`));
}
