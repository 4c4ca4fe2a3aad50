import {
	type FileHandle, mkdir, open, readdir, readFile, rename, rm,
} from 'node:fs/promises';

/** A file that is open for writing. */
export type OpenFile = {
	/** Writes all of the data at the end of the file. */
	readonly append: (data: Uint8Array) => Promise<void>;
	/** Cuts the file to a length in bytes. */
	readonly truncate: (length: number) => Promise<void>;
	/** Returns once everything written is on the disk. */
	readonly sync: () => Promise<void>;
	readonly close: () => Promise<void>;
};

/** What the data folder needs of a file system; passed in, so that tests can make it fail. */
export type FileFunctions = {
	readonly makeFolder: (folder: string) => Promise<void>;
	/** The names in a folder. */
	readonly list: (folder: string) => Promise<readonly string[]>;
	readonly read: (file: string) => Promise<Uint8Array>;
	/** Opens a file for appending, and makes it where it is missing. */
	readonly openForAppend: (file: string) => Promise<OpenFile>;
	/** Opens an empty file, in place of one that is there. */
	readonly create: (file: string) => Promise<OpenFile>;
	readonly rename: (from: string, to: string) => Promise<void>;
	readonly remove: (file: string) => Promise<void>;
	/** Makes the names in a folder last. */
	readonly syncFolder: (folder: string) => Promise<void>;
};

const ownerOnly = 0o600;

/** The file functions of the machine. */
export const systemFiles: FileFunctions = {
	async makeFolder(folder) {
		await mkdir(folder, {recursive: true});
	},
	list: async folder => readdir(folder),
	read: async file => readFile(file),
	openForAppend: async file => toOpenFile(await open(file, 'a', ownerOnly)),
	create: async file => toOpenFile(await open(file, 'w', ownerOnly)),
	rename,
	async remove(file) {
		await rm(file, {force: true});
	},
	async syncFolder(folder) {
		const handle = await open(folder, 'r');
		try {
			await handle.sync();
		} finally {
			await handle.close();
		}
	},
};

function toOpenFile(handle: FileHandle): OpenFile {
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
