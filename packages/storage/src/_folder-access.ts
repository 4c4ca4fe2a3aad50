import {type FileFunctions} from './file-functions.js';

/** A folder and the functions that reach it. */
export type FolderAccess = {
	readonly folder: string;
	readonly files: FileFunctions;
};
