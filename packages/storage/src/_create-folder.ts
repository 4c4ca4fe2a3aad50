import path from 'node:path';

/** Options of {@linkcode createFolder}. */
export type CreateFolderOptions = {
	/** Creates a folder with its missing parents, and returns the outermost one that was missing; undefined if the folder existed. */
	readonly make: (folder: string) => Promise<string | undefined>;
	/** Flushes a folder's directory entries to the disk. */
	readonly syncFolder: (folder: string) => Promise<void>;
};

/** Creates a folder with its missing parents, and flushes the entry of each one: what is synced inside is lost with the entry of its folder. */
export async function createFolder(folder: string, {make, syncFolder}: CreateFolderOptions): Promise<void> {
	const outermost = await make(folder);
	if (outermost === undefined) {
		return;
	}

	const last = path.dirname(path.resolve(outermost));
	let parent = path.resolve(folder);
	while (parent !== last) {
		parent = path.dirname(parent);
		await syncFolder(parent);
	}
}
