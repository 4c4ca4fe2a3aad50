import {readFile} from 'node:fs/promises';
import {formatProblem} from '@valehitch/settings';
import {type Either, Left, Right} from 'purify-ts';
import {parsePlatformSettings, type PlatformSettings} from './platform-settings.js';

/** The reasons why the settings are invalid, one line each. */
export type SettingsProblems = readonly string[];

/**
The settings file of the platform, which may be replaced while the process runs.

@example
```ts
const file = new SettingsFile('/etc/valehitch/node.yaml');
const settings = await file.read();
const changed = await file.readIfChanged();
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

	@returns The settings, or the problems of the file.
	*/
	async read(): Promise<Either<SettingsProblems, PlatformSettings>> {
		const text = await this.#readText();
		return text.chain(content => {
			this.#text = content;
			return parsePlatformSettings(content, this.#file).mapLeft(problems => problems.map(problem => formatProblem(problem)));
		});
	}

	/**
	Reads the settings if the file has changed since it was last read.

	@returns The settings, undefined if the file has not changed, or the problems of the file.
	*/
	async readIfChanged(): Promise<Either<SettingsProblems, PlatformSettings | undefined>> {
		const text = await this.#readText();
		return text.isRight() && text.extract() === this.#text ? Right(undefined) : this.read();
	}

	/** Loads the file, which may be missing or truncated for a moment while it is replaced. */
	async #readText(): Promise<Either<SettingsProblems, string>> {
		try {
			return Right(await readFile(this.#file, 'utf8'));
		} catch (error) {
			return Left([`Cannot read settings from ${this.#file}: ${error instanceof Error ? error.message : String(error)}`]);
		}
	}
}
