import {
	type FileHandle, mkdir, open, readdir, readFile, rename, rm,
} from 'node:fs/promises';
import {createFolder} from './_create-folder.js';

/** A file open for writing. */
export type WritableFile = {
	/** Appends all of the data to the file. */
	readonly append: (data: Uint8Array) => Promise<void>;
	/** Truncates the file to a length in bytes. */
	readonly truncate: (length: number) => Promise<void>;
	/** Flushes all written data to the disk. */
	readonly sync: () => Promise<void>;
	readonly close: () => Promise<void>;
};

/** The file system operations that this package uses. They are injected so that tests can simulate failures. */
export type FileSystem = {
	/** Creates a folder with its missing parents, and flushes their directory entries to the disk. */
	readonly createFolder: (folder: string) => Promise<void>;
	/** Lists the file names in a folder. */
	readonly list: (folder: string) => Promise<readonly string[]>;
	readonly read: (file: string) => Promise<Uint8Array>;
	/** Opens a file for appending; creates it if it does not exist. */
	readonly openForAppend: (file: string) => Promise<WritableFile>;
	/** Creates an empty file, or truncates an existing one, and opens it for writing. */
	readonly create: (file: string) => Promise<WritableFile>;
	readonly rename: (from: string, to: string) => Promise<void>;
	readonly remove: (file: string) => Promise<void>;
	/** Flushes a folder's directory entries to the disk. */
	readonly syncFolder: (folder: string) => Promise<void>;
};

const ownerOnly = 0o600;

/** The file system of the machine. */
export const nodeFileSystem: FileSystem = {
	async createFolder(folder) {
		await createFolder(folder, {make: async missing => mkdir(missing, {recursive: true}), syncFolder});
	},
	list: async folder => readdir(folder),
	read: async file => readFile(file),
	openForAppend: async file => toOpenFile(await open(file, 'a', ownerOnly)),
	create: async file => toOpenFile(await open(file, 'w', ownerOnly)),
	rename,
	async remove(file) {
		await rm(file, {force: true});
	},
	syncFolder,
};

async function syncFolder(folder: string): Promise<void> {
	const handle = await open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
}

function toOpenFile(handle: FileHandle): WritableFile {
	return {
		async append(data) {
			await handle.appendFile(data);
		},
		async truncate(length) {
			await handle.truncate(length);
		},
		sync: async () => handle.datasync(),
		close: async () => handle.close(),
	};
}
