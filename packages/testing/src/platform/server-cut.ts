import {rename, rm, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {ports} from './platform-deployment.js';

/**
How an instance without links to backend servers fails to reach them: open and new connections are refused or reset (`refused`) or get no answer (`silent`), or open ones go on while new ones are refused (`open-kept`).
*/
export type ServerCut = 'refused' | 'silent' | 'open-kept';

/** Options of {@linkcode cutServerLinks}. */
export type CutServerLinksOptions = {
	/** The ports of the servers that are out of reach; all by default. */
	readonly ports?: readonly number[];
};

/** A cut as it is written for the instance. */
export type WrittenServerCut = CutServerLinksOptions & {readonly cut: ServerCut};

type CutInstance = {
	readonly folder: string;
};

/**
Returns environment variables by which the links of an instance to backend servers can be cut.

@param instance The instance.
@param ownPorts The ports on which it connects to other instances; by default those of the platform.
@returns The environment variables.
@example
```ts
await PlatformDeployment.start({environment: serverCutEnvironment});
```
*/
export function serverCutEnvironment(instance: CutInstance, ownPorts: readonly number[] = platformPorts()): Readonly<Record<string, string>> {
	return {
		NODE_OPTIONS: `--import ${new URL('cut-server-links.js', import.meta.url).href}`,
		SERVER_CUT_FILE: cutFileOf(instance),
		SERVER_CUT_OWN_PORTS: JSON.stringify(ownPorts),
	};
}

/**
Cuts the links of an instance to backend servers.

@param instance The instance, started with `serverCutEnvironment`.
@param cut How its connections fail.
@param options The servers that are out of reach.
@example
```ts
await cutServerLinks(deployment.entries[0]!, 'silent');
```
*/
export async function cutServerLinks(instance: CutInstance, cut: ServerCut, options: CutServerLinksOptions = {}): Promise<void> {
	// The instance reads the file while it is written otherwise, and finds it empty.
	const file = cutFileOf(instance);
	const written: WrittenServerCut = {cut, ...options};
	await writeFile(`${file}.new`, JSON.stringify(written));
	await rename(`${file}.new`, file);
}

/**
Restores the links of an instance to backend servers.

@param instance The instance.
@example
```ts
await restoreServerLinks(deployment.entries[0]!);
```
*/
export async function restoreServerLinks(instance: CutInstance): Promise<void> {
	await rm(cutFileOf(instance), {force: true});
}

function cutFileOf({folder}: CutInstance): string {
	return path.join(folder, 'server-cut');
}

function platformPorts(): readonly number[] {
	const {callers, readiness, control, peers, lastPeers} = ports;
	return [callers, readiness, control, ...Array.from({length: lastPeers - peers + 1}, (_, index) => peers + index)];
}
