/** The variable with the address of the process that the preloaded module runs in. */
export const selfVariable = 'SOAK_SELF';

/** The variable with the data folder of the process; files beside it say what misbehaves. */
export const folderVariable = 'SOAK_FOLDER';

/**
The file that says how something misbehaves; beside the data folder, which a fault may remove.

@param folder The data folder.
@param what What misbehaves.
@returns The file; nothing misbehaves while there is none.
@example
```ts
misbehaviourFile('/tmp/soak/core-1', 'disk');
```
*/
export function misbehaviourFile(folder: string, what: 'disk' | 'clock'): string {
	return `${folder}.${what}`;
}

/** The port on which instances listen for one another, and that of the proxy in front of it. */
export const proxyPorts = {peers: 7340, proxied: 7390} as const;
