import {readFile} from 'node:fs/promises';
import {waitUntil} from '../wait-until.js';
import {type PlatformInstance} from './platform-deployment.js';

/** How long loading the programs of one deployment may take on a busy machine, in milliseconds. */
const loadTimeoutMilliseconds = 60_000;

/** The start in progress. */
let lastStart: Promise<void> = Promise.resolve();

/**
Starts the processes of instances, and waits until each has loaded its program, so that later waits do not include the time that this takes on a busy machine. Deployments of one test file are started one after the other.

@param instances The instances.
@throws If one has not loaded its program in time.
@example
```ts
await startAll(deployment.instances);
```
*/
export async function startAll(instances: ReadonlyArray<Pick<PlatformInstance, 'process'>>): Promise<void> {
	const previous = lastStart;
	const start = (async () => {
		await previous;
		await load(instances);
	})();
	lastStart = start.catch(() => undefined);
	await start;
}

async function load(instances: ReadonlyArray<Pick<PlatformInstance, 'process'>>): Promise<void> {
	const countAll = async () => Promise.all(instances.map(async ({process}) => countStarts(process.logFile)));
	const previous = await countAll();
	for (const {process} of instances) {
		process.start();
	}

	await waitUntil(async () => {
		const counts = await countAll();
		return counts.every((count, index) => count > previous[index]!) || undefined;
	}, {description: 'all processes to load their programs', timeoutMilliseconds: loadTimeoutMilliseconds});
}

async function countStarts(logFile: string): Promise<number> {
	try {
		const log = await readFile(logFile, 'utf8');
		return log.split('"kind":"process-started"').length - 1;
	} catch {
		return 0;
	}
}
