import {randomUUID} from 'node:crypto';
import {
	configurationSchema, type Configuration, failure, type Failure,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {
	type Committed, getConfiguration, putConfiguration, type Target,
} from './_operator-client.js';

/** How to change the configuration in force. */
export type DocumentChange = {
	/** Gives the new document, or why it can't be made. */
	readonly edit: (document: Configuration) => Either<Failure, Configuration>;
	/** How often a change that lost against another is made again on the newer document; 0 by default. */
	readonly retries?: number;
	/** Told the change id and revision before each send, so that an operator can ask for them later. */
	readonly onSend: (change: {readonly id: string; readonly revision: number}) => void;
};

/** Reads the configuration in force, edits it, and applies it against the revision it was read at. */
export async function changeDocument(target: Target, change: DocumentChange): Promise<Either<Failure, Committed>> {
	const current = await getConfiguration(target);
	if (current.isLeft()) {
		return current;
	}

	const {revision, document} = current.unsafeCoerce();
	const edited = readDocument(document).chain(found => change.edit(found));
	if (edited.isLeft()) {
		return edited;
	}

	const id = randomUUID();
	change.onSend({id, revision});
	const result = await putConfiguration(target, {id, revision, document: edited.unsafeCoerce()});
	const retries = change.retries ?? 0;
	return retries > 0 && isConflict(result) ? changeDocument(target, {...change, retries: retries - 1}) : result;
}

function readDocument(document: unknown): Either<Failure, Configuration> {
	const parsed = configurationSchema.safeParse(document);
	return parsed.success
		? Right(parsed.data)
		: Left(failure('internal', `Got a configuration that this command does not understand (${parsed.error.issues[0]?.message ?? ''}), wanted one of its own version`));
}

function isConflict(result: Either<Failure, unknown>): boolean {
	return result.swap().map(({kind}) => kind === 'revision-conflict').orDefault(false);
}
