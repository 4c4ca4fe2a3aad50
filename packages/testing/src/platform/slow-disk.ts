/** The delays of a simulated slow disk. */
export type SlowDiskOptions = {
	/** The delay of each sync, in milliseconds; 0 by default. */
	readonly syncMilliseconds?: number;
	/** The base name of the files whose replacement is delayed; none by default. */
	readonly delayedFile?: string;
	/** The delay of each replacement of such a file, in milliseconds; 0 by default. */
	readonly replaceMilliseconds?: number;
};

/**
Returns environment variables that make a process run as on a slow disk.

@param options The delays.
@returns The environment variables.
@example
```ts
await PlatformDeployment.start({environment: () => slowDiskEnvironment({syncMilliseconds: 400})});
```
*/
export function slowDiskEnvironment({syncMilliseconds = 0, delayedFile = '', replaceMilliseconds = 0}: SlowDiskOptions): Readonly<Record<string, string>> {
	return {
		NODE_OPTIONS: `--import ${new URL('slow-saves.js', import.meta.url).href}`,
		SLOW_SYNC_MILLISECONDS: String(syncMilliseconds),
		SLOW_FILE: delayedFile,
		SLOW_FILE_MILLISECONDS: String(replaceMilliseconds),
	};
}
