import {type FileSystem} from './file-system.js';

/** A folder and the file system that it is on. */
export type FolderAccess = {
	readonly folder: string;
	readonly fileSystem: FileSystem;
};
