/** The environment variable with the IP address of the process that loads the preloaded module. */
export const addressVariable = 'SOAK_SELF';

/** The environment variable with the data folder of the process. Files next to the folder turn faults on. */
export const dataFolderVariable = 'SOAK_FOLDER';

/**
Returns the path of the file that turns a fault on. The file is next to the data folder rather than in it, because a fault may remove the folder.

@param folder The data folder.
@param part The part that fails.
@returns The path; the fault is on while the file exists.
@example
```ts
faultFile('/tmp/soak/core-1', 'disk');
```
*/
export function faultFile(folder: string, part: 'disk' | 'clock' | 'links'): string {
	return `${folder}.${part}`;
}

/** The port on which instances listen for their peers, and the port of the proxy in front of it. */
export const proxyPorts = {peers: 7340, proxied: 7390} as const;

/** The port of control instances for operators and backend servers. */
export const controlPort = 8229;

/** The availability zone that the operator of a soak evacuates. */
export const evacuatedZone = 'hall-b';
