/** What a caller sends. */
export type RequestKind = 'safe' | 'unsafe' | 'streaming';

/** One request as its caller saw it. */
export type SeenRequest = {
	readonly id: string;
	readonly kind: RequestKind;
	readonly key: string;
	readonly entry: string;
	/** Milliseconds on the clock of the soak. */
	readonly sentAt: number;
	/** The status; 0 where the connection ended without one. */
	readonly status: number;
	readonly text: string;
	/** Whether the body came whole. */
	readonly isWhole: boolean;
};

/** One run as a backend server saw it. */
export type SeenRun = {
	readonly id: string;
	readonly server: string;
	/** Milliseconds on the clock of the soak. */
	readonly at: number;
};

/** A configuration that an operator sent and that was acknowledged. */
export type SeenConfiguration = {
	readonly version: number;
	readonly acknowledgedAt: number;
};

/** A configuration as an operator read it. */
export type SeenRead = {
	readonly version: number;
	readonly askedAt: number;
	readonly control: string;
};

/** A time in which a process could not be reached in full, or did not run. */
export type Disturbance = {
	readonly ip: string;
	readonly from: number;
	readonly to: number;
};

/** Everything that was seen from outside during a soak; only that is judged. */
export type SoakRecord = {
	readonly requests: SeenRequest[];
	readonly runs: SeenRun[];
	readonly configurations: SeenConfiguration[];
	readonly reads: SeenRead[];
	/** Keys that were taken away, and when that was acknowledged. */
	readonly revocations: Array<{readonly key: string; readonly acknowledgedAt: number}>;
	/** Backend servers that said that they shut down, and when that was acknowledged. */
	readonly shutdowns: Array<{readonly server: string; readonly acknowledgedAt: number; readonly control: string}>;
	/** The processes that faults struck; bounds in time hold for the others. */
	readonly disturbances: Disturbance[];
	/** The entry instances that did not serve again in time after the last fault. */
	readonly unrecovered: string[];
	/** Processes that ended by themselves. */
	readonly ends: string[];
	/** The configuration that was read at the end; undefined where none was. */
	finalVersion: number | undefined;
};

/**
Makes an empty record.

@returns The record.
@example
```ts
const record = emptyRecord();
```
*/
export function emptyRecord(): SoakRecord {
	return {
		requests: [], runs: [], configurations: [], reads: [], revocations: [], shutdowns: [], disturbances: [], unrecovered: [], ends: [], finalVersion: undefined,
	};
}

/**
The whole answer to a request.

@param id The request.
@param kind Its kind.
@returns The body that a server which runs it writes.
@example
```ts
wholeAnswer('7-1', 'safe');
```
*/
export function wholeAnswer(id: string, kind: RequestKind): string {
	return kind === 'streaming' ? eventsOf(id).map((event, index) => `id: ${index + 1}\ndata: ${event}\n\n`).join('') : `done ${id}`;
}

/**
The events of a stream.

@param id The request.
@returns The data of each event.
@example
```ts
eventsOf('7-1');
```
*/
export function eventsOf(id: string): readonly string[] {
	return ['one', 'two', 'three', 'four', 'five'].map(word => `${word} of ${id}`);
}
