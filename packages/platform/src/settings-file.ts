import {readFile} from 'node:fs/promises';
import {formatProblem} from '@valehitch/settings';
import {type Either, Left, Right} from 'purify-ts';
import {parsePlatformSettings, type PlatformSettings} from './platform-settings.js';

/** Why the settings could not be taken, a line each. */
export type SettingsProblems = readonly string[];

/**
The settings file of the platform, which is replaced while the process runs.

@example
```ts
const file = new SettingsFile('/etc/valehitch/node.yaml');
const settings = await file.read();
const changed = await file.readChange();
```
*/
export class SettingsFile {
	readonly #file: string;
	#text: string | undefined;

	constructor(file: string) {
		this.#file = file;
	}

	/**
	Reads the settings.

	@returns The settings, or what is wrong with the file.
	*/
	async read(): Promise<Either<SettingsProblems, PlatformSettings>> {
		const text = await this.#load();
		return text.chain(loaded => {
			this.#text = loaded;
			return parsePlatformSettings(loaded, this.#file).mapLeft(problems => problems.map(problem => formatProblem(problem)));
		});
	}

	/**
	Reads the settings where the file is not as it was when it was last read.

	@returns The settings, undefined where nothing changed, or what is wrong with the file.
	*/
	async readChange(): Promise<Either<SettingsProblems, PlatformSettings | undefined>> {
		const text = await this.#load();
		return text.isRight() && text.extract() === this.#text ? Right(undefined) : this.read();
	}

	/** The file may be missing or cut short for a moment while it is replaced. */
	async #load(): Promise<Either<SettingsProblems, string>> {
		try {
			return Right(await readFile(this.#file, 'utf8'));
		} catch (error) {
			return Left([`Got no settings from ${this.#file}: ${error instanceof Error ? error.message : String(error)}`]);
		}
	}
}
