import {randomUUID} from 'node:crypto';
import {
	configurationSchema, type Configuration, failure, type Failure,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {
	type CommittedChange, getConfiguration, putConfiguration, type Target,
} from './_operator-client.js';

/** Options for a read-modify-write update of the configuration in force. */
export type ConfigurationUpdate = {
	/** Returns the edited document, or the failure if the edit isn't possible. */
	readonly edit: (document: Configuration) => Either<Failure, Configuration>;
	/** How many times to reapply the edit to the newer document after a revision conflict; 0 by default. */
	readonly retries?: number;
	/** Called with the change id and revision before each send, so that an operator can look the change up later. */
	readonly onSend: (change: {readonly id: string; readonly revision: number}) => void;
};

/** Reads the configuration in force, edits it, and submits the result on condition that the revision has not changed since. */
export async function updateConfiguration(target: Target, change: ConfigurationUpdate): Promise<Either<Failure, CommittedChange>> {
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
	return retries > 0 && isConflict(result) ? updateConfiguration(target, {...change, retries: retries - 1}) : result;
}

function readDocument(document: unknown): Either<Failure, Configuration> {
	const parsed = configurationSchema.safeParse(document);
	return parsed.success
		? Right(parsed.data)
		: Left(failure('internal', `Got a configuration that this version of the command can't parse (${parsed.error.issues[0]?.message ?? ''}), wanted one from an instance of the same version`));
}

function isConflict(result: Either<Failure, unknown>): boolean {
	return result.swap().map(({kind}) => kind === 'revision-conflict').orDefault(false);
}
