import {Buffer} from 'node:buffer';
import path from 'node:path';
import {identityName, segmentSequences, snapshotIndexes} from './_names.js';
import {type Place} from './_place.js';
import {replaceFile} from './_replace-file.js';
import {StorageError} from './_storage-error.js';

/** Who the folder is. */
export type Identity = {
	readonly identity: string;
	readonly isNew: boolean;
};

/** Reads the identity of a folder, or gives an empty folder a new one. */
export async function openIdentity(place: Place, newIdentity: () => string): Promise<Identity> {
	const {folder, files} = place;
	const names = await files.list(folder);
	if (names.includes(identityName)) {
		return {identity: await readIdentity(place), isNew: false};
	}

	if (segmentSequences(names).length > 0 || snapshotIndexes(names).length > 0) {
		throw new StorageError(`Got ${folder} with a log and without ${identityName}, wanted both or an empty folder`);
	}

	const identity = newIdentity();
	await replaceFile(place, {name: identityName, data: Buffer.from(`${JSON.stringify({identity})}\n`)});
	return {identity, isNew: true};
}

async function readIdentity({folder, files}: Place): Promise<string> {
	const file = path.join(folder, identityName);
	const text = Buffer.from(await files.read(file)).toString('utf8');
	let found: unknown;
	try {
		found = JSON.parse(text);
	} catch {
		throw new StorageError('Got an identity that is not JSON', {file, offset: 0});
	}

	if (typeof found === 'object' && found !== null && 'identity' in found && typeof found.identity === 'string' && found.identity !== '') {
		return found.identity;
	}

	throw new StorageError('Got no identity, wanted a JSON object with the member identity', {file, offset: 0});
}
