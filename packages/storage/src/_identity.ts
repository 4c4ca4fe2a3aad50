import {Buffer} from 'node:buffer';
import path from 'node:path';
import {identityFileName, segmentSequences, snapshotIndexes} from './_file-names.js';
import {type FolderAccess} from './_folder-access.js';
import {replaceFile} from './_replace-file.js';
import {StorageError} from './_storage-error.js';

/** Who the folder is. */
export type FolderIdentity = {
	readonly identity: string;
	readonly isNew: boolean;
};

/** Reads the identity of a folder, or gives an empty folder a new one. */
export async function readOrCreateIdentity(access: FolderAccess, newIdentity: () => string): Promise<FolderIdentity> {
	const {folder, files} = access;
	const names = await files.list(folder);
	if (names.includes(identityFileName)) {
		return {identity: await readIdentity(access), isNew: false};
	}

	if (segmentSequences(names).length > 0 || snapshotIndexes(names).length > 0) {
		throw new StorageError(`Got ${folder} with a log and without ${identityFileName}, wanted both or an empty folder`);
	}

	const identity = newIdentity();
	await replaceFile(access, {name: identityFileName, data: Buffer.from(`${JSON.stringify({identity})}\n`)});
	return {identity, isNew: true};
}

async function readIdentity({folder, files}: FolderAccess): Promise<string> {
	const file = path.join(folder, identityFileName);
	const text = Buffer.from(await files.read(file)).toString('utf8');
	let parsed: unknown;
	try {
		parsed = JSON.parse(text);
	} catch {
		throw new StorageError('Got an identity that is not JSON', {file, offset: 0});
	}

	if (typeof parsed === 'object' && parsed !== null && 'identity' in parsed && typeof parsed.identity === 'string' && parsed.identity !== '') {
		return parsed.identity;
	}

	throw new StorageError('Got no identity, wanted a JSON object with the member identity', {file, offset: 0});
}
