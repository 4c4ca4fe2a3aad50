import {forkServer} from './fork-server.js';

/** Options of {@linkcode startRepeatingCallers}. */
export type RepeatingCallersOptions = {
	readonly address: string;
	readonly host: string;
	/** The beginning of the path, which the number of the request follows. */
	readonly path: string;
	readonly method: string;
	readonly headers: Readonly<Record<string, string>>;
	/** The number of callers. */
	readonly count: number;
	/** How many requests each of them sends, one after another. */
	readonly requestsEach: number;
	/** The time between an answer and the next request of a caller, in milliseconds. */
	readonly pause: number;
	/** The time after which a caller gives up a request, in milliseconds. */
	readonly timeout: number;
};

const program = new URL('repeating-callers-process.js', import.meta.url);

/**
Starts callers in a process of their own that send one request after another, whatever becomes of them.

@param options The requests.
@returns Ends the process.
@example
```ts
const stop = await startRepeatingCallers({address, host, path: '/look/', method: 'GET', headers: {}, count: 40, requestsEach: 100, pause: 250, timeout: 6500});
```
*/
export async function startRepeatingCallers(options: RepeatingCallersOptions): Promise<() => void> {
	const {child} = await forkServer(program, {argument: JSON.stringify(options), errorOutput: 'inherit'});
	return () => {
		child.kill('SIGKILL');
	};
}
