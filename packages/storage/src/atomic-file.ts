import path from 'node:path';
import {type Failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {replaceFile} from './_replace-file.js';
import {toStorageFailure} from './data-folder.js';
import {type FileSystem, nodeFileSystem} from './file-system.js';

/** Options for `AtomicFile`. */
export type AtomicFileOptions = {
	/** The file system to use; that of the machine by default. */
	readonly fileSystem?: FileSystem;
};

/**
A file whose content is replaced atomically. Meant for caches that speed up a restart and whose loss is harmless.

@example
```ts
const file = new AtomicFile('data/servers.json');
await file.replace(bytes);
const bytes = await file.read();
```
*/
export class AtomicFile {
	readonly #folder: string;
	readonly #name: string;
	readonly #fileSystem: FileSystem;

	/**
	@param file The path of the file; its folder must exist.
	@param options The file system to use.
	*/
	constructor(file: string, {fileSystem = nodeFileSystem}: AtomicFileOptions = {}) {
		this.#folder = path.dirname(file);
		this.#name = path.basename(file);
		this.#fileSystem = fileSystem;
	}

	/**
	Reads the file.

	@returns The content, or undefined if the file does not exist.
	*/
	async read(): Promise<Either<Failure, Uint8Array | undefined>> {
		try {
			const names = await this.#fileSystem.list(this.#folder);
			return Right(names.includes(this.#name) ? await this.#fileSystem.read(path.join(this.#folder, this.#name)) : undefined);
		} catch (error) {
			return Left(toStorageFailure(error, this.#folder));
		}
	}

	/**
	Replaces the content atomically: after a crash the file has either the old or the new content.

	@param data The new content.
	@returns Nothing once the new content is durable; otherwise the failure.
	*/
	async replace(data: Uint8Array): Promise<Either<Failure, undefined>> {
		try {
			await replaceFile({folder: this.#folder, fileSystem: this.#fileSystem}, {name: this.#name, data});
			return Right(undefined);
		} catch (error) {
			return Left(toStorageFailure(error, this.#folder));
		}
	}
}
