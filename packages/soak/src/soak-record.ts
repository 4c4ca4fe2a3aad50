/** The kind of a request, as set by its route. */
export type RequestKind = 'safe' | 'unsafe' | 'streaming';

/** One request as observed by its caller. */
export type ObservedRequest = {
	readonly id: string;
	readonly kind: RequestKind;
	readonly key: string;
	readonly entry: string;
	/** The time on the clock of the soak, in milliseconds. */
	readonly sentAt: number;
	/** The status; 0 if the connection ended without one. */
	readonly status: number;
	readonly text: string;
	/** Whether the body was received completely. */
	readonly isComplete: boolean;
};

/** One execution of a request as observed by a backend server. */
export type ObservedRun = {
	readonly id: string;
	readonly server: string;
	/** The availability zone of the server. */
	readonly zone?: string;
	/** The body that the server received. */
	readonly body?: string;
	/** The time on the clock of the soak, in milliseconds. */
	readonly at: number;
};

/** One request that reached a backend server, whether it was executed or rejected. */
export type ObservedArrival = {
	readonly id: string;
	readonly server: string;
	/** The time on the clock of the soak, in milliseconds. */
	readonly at: number;
};

/** A time in which a backend server named a rate limit in its answers. */
export type ObservedLimit = {
	readonly server: string;
	readonly requestsPerSecond: number;
	readonly from: number;
	readonly to: number;
};

/** A rejection of a request by which a backend server asked its instance for a pause. */
export type ObservedPause = ObservedArrival & {
	/** When the pause ends. */
	readonly until: number;
};

/** A time in which an entry instance opened no connection to any backend server. */
export type ObservedServerCut = {
	/** The address of the instance for callers. */
	readonly entry: string;
	readonly from: number;
	readonly to: number;
};

/** One evacuation of an availability zone as observed by its operator. */
export type ObservedEvacuation = {
	readonly zone: string;
	readonly acknowledgedAt: number;
	/** When the end of the evacuation was first ordered; undefined if it was not. */
	endOrderedAt: number | undefined;
};

/** A time in which a key may be refused, since a configuration that adds or revokes it was submitted. */
export type UncertainKey = {
	readonly key: string;
	readonly from: number;
	/** When the configuration that adds the key was acknowledged; undefined for a key that is revoked. */
	to: number | undefined;
};

/** A configuration that an operator submitted and a control instance acknowledged. */
export type AcknowledgedConfiguration = {
	readonly version: number;
	readonly acknowledgedAt: number;
};

/** One read of the configuration by an operator. */
export type ConfigurationRead = {
	readonly version: number;
	readonly askedAt: number;
	readonly control: string;
};

/** An interval in which a process was unreachable, at least in part, or not running. */
export type Disturbance = {
	readonly ip: string;
	readonly from: number;
	readonly to: number;
};

/** All external observations of a soak; the guarantees are checked against these alone. */
export type SoakRecord = {
	readonly requests: ObservedRequest[];
	readonly runs: ObservedRun[];
	readonly arrivals: ObservedArrival[];
	readonly limits: ObservedLimit[];
	readonly pauses: ObservedPause[];
	readonly serverCuts: ObservedServerCut[];
	readonly configurations: AcknowledgedConfiguration[];
	readonly reads: ConfigurationRead[];
	/** The revoked keys, and when each revocation was acknowledged. */
	readonly revocations: Array<{readonly key: string; readonly acknowledgedAt: number}>;
	/** When which key may have been refused. */
	readonly uncertainKeys: UncertainKey[];
	/** The backend servers that announced a shutdown, and when each announcement was acknowledged. */
	readonly shutdowns: Array<{readonly server: string; readonly acknowledgedAt: number; readonly control: string}>;
	/** The evacuations of availability zones. */
	readonly evacuations: ObservedEvacuation[];
	/** When faults disturbed which process. The limit on shutdowns applies only to undisturbed processes. */
	readonly disturbances: Disturbance[];
	/** What did not recover in time after the last fault: entry instances that did not serve, or an operator whose change was not acknowledged. */
	readonly unrecovered: string[];
	/** The processes that should be running at the end of the soak but are not. */
	readonly unexpectedExits: string[];
	/** The version of the configuration read at the end; undefined if no read succeeded. */
	finalVersion: number | undefined;
};

/**
Creates an empty record.

@returns The record.
@example
```ts
const record = emptyRecord();
```
*/
export function emptyRecord(): SoakRecord {
	return {
		requests: [],
		runs: [],
		arrivals: [],
		limits: [],
		pauses: [],
		serverCuts: [],
		configurations: [],
		reads: [],
		revocations: [],
		uncertainKeys: [],
		shutdowns: [],
		evacuations: [],
		disturbances: [],
		unrecovered: [],
		unexpectedExits: [],
		finalVersion: undefined,
	};
}

/**
Returns the body of a request, which is sent whatever its method.

@param id The id of the request.
@returns The body, sent as JSON.
@example
```ts
requestBody('7-1'); // {request: '7-1'}
```
*/
export function requestBody(id: string): Readonly<Record<string, string>> {
	return {request: id};
}

/**
Returns the complete response to a request.

@param id The id of the request.
@param kind The kind of the request.
@returns The body that a backend server writes for it.
@example
```ts
completeResponse('7-1', 'safe');
```
*/
export function completeResponse(id: string, kind: RequestKind): string {
	return kind === 'streaming' ? streamEvents(id).map((event, index) => `id: ${index + 1}\ndata: ${event}\n\n`).join('') : `done ${id}`;
}

/**
Returns the events of the response to a streaming request.

@param id The id of the request.
@returns The data of each event.
@example
```ts
streamEvents('7-1');
```
*/
export function streamEvents(id: string): readonly string[] {
	return ['one', 'two', 'three', 'four', 'five'].map(word => `${word} of ${id}`);
}
