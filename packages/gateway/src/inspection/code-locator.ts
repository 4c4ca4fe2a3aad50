import {existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {type CallFrame, type CodeLocation} from './sum-profile.js';

/** Where the lines of the source modules begin in a bundled script; all lines and columns are counted from 0. */
export type BundleModules = {
	readonly sources: readonly string[];
	/** For each place, in order: line and column in the bundle, index of the source, line in the source. */
	readonly places: ReadonlyArray<readonly [bundleLine: number, column: number, source: number, line: number]>;
};

const fileScheme = 'file://';
const bundleExtension = '.cjs';
const modulesExtension = '.modules.json';
const ownModulePattern = /^(?:.*\/)?packages\/([^\/]+)\/(?:src|dist)\/(.+)\.[a-z]+$/v;
const libraryPattern = /^.*node_modules\/(.+)$/v;

/**
Finds the modules of the functions in a profile, by the files of the scripts, and in a bundled script by the list of modules that its build has left beside it.

@example
```ts
const locator = new CodeLocator();
sumProfile(profile, {locate: frame => locator.locate(frame)});
```
*/
export class CodeLocator {
	readonly #bundles = new Map<string, BundleModules | undefined>();
	readonly #readModules: (script: string) => BundleModules | undefined;

	/** @param readModules Returns the modules of a bundled script, undefined for other scripts; by default reads them from the file beside the script. */
	constructor(readModules: (script: string) => BundleModules | undefined = readBundleModules) {
		this.#readModules = readModules;
	}

	/**
	Finds the module of a function.

	@param frame The function.
	@returns The module, and the line in it.
	*/
	locate({url, lineNumber, columnNumber}: CallFrame): CodeLocation {
		const script = url.startsWith(fileScheme) ? fileURLToPath(url) : url;
		const bundle = this.#modulesOf(script);
		if (bundle === undefined) {
			return {module: moduleName(script), line: lineNumber < 0 ? undefined : lineNumber + 1};
		}

		const place = placeAt(bundle, {lineNumber, columnNumber});
		if (place === undefined) {
			return {module: script, line: lineNumber + 1};
		}

		const [source, line] = place.slice(2);
		return {module: moduleName(bundle.sources[source ?? 0] ?? script), line: (line ?? 0) + 1};
	}

	#modulesOf(script: string): BundleModules | undefined {
		if (!script.endsWith(bundleExtension)) {
			return undefined;
		}

		if (!this.#bundles.has(script)) {
			this.#bundles.set(script, this.#readModules(script));
		}

		return this.#bundles.get(script);
	}
}

/** Returns the package and the path of one of our modules, the path of a library's file in its package, or else the script itself. */
function moduleName(script: string): string {
	const [, ownPackage, ownPath] = ownModulePattern.exec(script) ?? [];
	if (ownPackage !== undefined) {
		return `${ownPackage}/${ownPath}`;
	}

	const [, libraryPath] = libraryPattern.exec(script) ?? [];
	return libraryPath ?? script;
}

/** Returns the last place that does not begin after a position. */
function placeAt({places}: BundleModules, {lineNumber, columnNumber}: Pick<CallFrame, 'lineNumber' | 'columnNumber'>): BundleModules['places'][number] | undefined {
	let first = 0;
	let end = places.length;
	while (first < end) {
		const middle = Math.floor((first + end) / 2);
		const [line = 0, column = 0] = places[middle] ?? [];
		if (line < lineNumber || (line === lineNumber && column <= columnNumber)) {
			first = middle + 1;
		} else {
			end = middle;
		}
	}

	return places[first - 1];
}

function readBundleModules(script: string): BundleModules | undefined {
	const file = path.join(path.dirname(script), `${path.basename(script, bundleExtension)}${modulesExtension}`);
	return existsSync(file) ? JSON.parse(readFileSync(file, 'utf8')) as BundleModules : undefined;
}
