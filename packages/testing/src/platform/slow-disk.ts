/** Which file is slow. */
export type SlowDiskOptions = {
	/** The name of the file. */
	readonly file: string;
	/** How much longer each replacement of it takes, in milliseconds. */
	readonly milliseconds: number;
};

/**
Makes the variables of a process whose disk is slow.

@param options The file, and how slow it is.
@returns The variables.
@example
```ts
await PlatformDeployment.start({environment: () => slowDisk({file: 'suspects.json', milliseconds: 500})});
```
*/
export function slowDisk({file, milliseconds}: SlowDiskOptions): Readonly<Record<string, string>> {
	return {
		NODE_OPTIONS: `--import ${new URL('slow-saves.js', import.meta.url).href}`,
		SLOW_FILE: file,
		SLOW_MILLISECONDS: String(milliseconds),
	};
}
