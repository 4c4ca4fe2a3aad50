/** What is slow about a disk. */
export type SlowDiskOptions = {
	/** How much longer each sync takes, in milliseconds; 0 by default. */
	readonly syncMilliseconds?: number;
	/** The name of files whose replacement takes longer; none by default. */
	readonly file?: string;
	/** How much longer each replacement of them takes, in milliseconds; 0 by default. */
	readonly fileMilliseconds?: number;
};

/**
Makes the variables of a process whose disk is slow.

@param options What is slow.
@returns The variables.
@example
```ts
await PlatformDeployment.start({environment: () => slowDisk({syncMilliseconds: 400})});
```
*/
export function slowDisk({syncMilliseconds = 0, file = '', fileMilliseconds = 0}: SlowDiskOptions): Readonly<Record<string, string>> {
	return {
		NODE_OPTIONS: `--import ${new URL('slow-saves.js', import.meta.url).href}`,
		SLOW_SYNC_MILLISECONDS: String(syncMilliseconds),
		SLOW_FILE: file,
		SLOW_FILE_MILLISECONDS: String(fileMilliseconds),
	};
}
