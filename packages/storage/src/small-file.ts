import path from 'node:path';
import {type Failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {replaceFile} from './_replace-file.js';
import {toStorageFailure} from './data-folder.js';
import {type FileFunctions, systemFiles} from './file-functions.js';

/** How a small file is reached. */
export type SmallFileOptions = {
	/** Reaches the file system; the machine's by default. */
	readonly files?: FileFunctions;
};

/**
A file that is replaced whole, for what is good to have after a restart and may be lost.

@example
```ts
const file = new SmallFile('data/servers.json');
await file.replace(bytes);
const bytes = await file.read();
```
*/
export class SmallFile {
	readonly #folder: string;
	readonly #name: string;
	readonly #files: FileFunctions;

	/**
	@param file The path of the file; its folder must be there.
	@param options How it is reached.
	*/
	constructor(file: string, {files = systemFiles}: SmallFileOptions = {}) {
		this.#folder = path.dirname(file);
		this.#name = path.basename(file);
		this.#files = files;
	}

	/**
	Reads the file.

	@returns Its bytes, or undefined where there is none.
	*/
	async read(): Promise<Either<Failure, Uint8Array | undefined>> {
		try {
			const names = await this.#files.list(this.#folder);
			return Right(names.includes(this.#name) ? await this.#files.read(path.join(this.#folder, this.#name)) : undefined);
		} catch (error) {
			return Left(toStorageFailure(error, this.#folder));
		}
	}

	/**
	Replaces the file; it holds either its former bytes or the new ones.

	@param data The new bytes.
	@returns Nothing once they are on the disk.
	*/
	async replace(data: Uint8Array): Promise<Either<Failure, undefined>> {
		try {
			await replaceFile({folder: this.#folder, files: this.#files}, {name: this.#name, data});
			return Right(undefined);
		} catch (error) {
			return Left(toStorageFailure(error, this.#folder));
		}
	}
}
