/** Whether the request ran on a backend server: it did not, it did, or this is not known. */
export type Outcome = 'notRun' | 'ran' | 'unknown';

/** The response to one kind of error. */
export type ErrorResponse = {
	/** The HTTP status code. */
	readonly status: number;
	/** Whether the request ran. */
	readonly outcome: Outcome;
	/** The problem details title, the same for all errors of the kind. */
	readonly title: string;
};

/** All error kinds and their responses. The table in docs/API.md is generated from this. */
export const errorResponses = {
	'malformed-request': {status: 400, outcome: 'notRun', title: 'The request is malformed'},
	'request-quarantined': {status: 400, outcome: 'unknown', title: 'Backend servers end when they run the request'},
	unauthenticated: {status: 401, outcome: 'notRun', title: 'The key is missing or not known'},
	forbidden: {status: 403, outcome: 'notRun', title: 'The workspace does not allow this'},
	'not-found': {status: 404, outcome: 'notRun', title: 'There is nothing at this path'},
	'unknown-model': {status: 404, outcome: 'notRun', title: 'The model is not configured'},
	'method-not-allowed': {status: 405, outcome: 'notRun', title: 'The method is not allowed here'},
	'claim-in-progress': {status: 409, outcome: 'unknown', title: 'A request with this idempotency key is in progress'},
	'change-id-reused': {status: 409, outcome: 'notRun', title: 'The change id was used for another change'},
	'profile-in-progress': {status: 409, outcome: 'notRun', title: 'Another profile is being recorded'},
	'session-ended': {status: 410, outcome: 'notRun', title: 'The version of the session was withdrawn'},
	'revision-conflict': {status: 412, outcome: 'notRun', title: 'Another change was committed first'},
	'too-large': {status: 413, outcome: 'notRun', title: 'The request is too large'},
	'headers-too-large': {status: 431, outcome: 'notRun', title: 'The request headers are too large'},
	'invalid-configuration': {status: 422, outcome: 'notRun', title: 'The configuration is not valid'},
	'key-reused': {status: 422, outcome: 'notRun', title: 'The idempotency key was used with another request'},
	'session-invalid': {status: 422, outcome: 'notRun', title: 'The session token is not valid for this workspace'},
	'limit-reached': {status: 429, outcome: 'notRun', title: 'The workspace has used its share'},
	internal: {status: 500, outcome: 'unknown', title: 'The daemon failed'},
	'backend-failed': {status: 502, outcome: 'ran', title: 'The backend server reported a failure'},
	'outcome-unknown': {status: 502, outcome: 'unknown', title: 'The outcome of the request is not known'},
	'no-server': {status: 503, outcome: 'notRun', title: 'No backend server can take the request'},
	overloaded: {status: 503, outcome: 'notRun', title: 'The queue cannot meet the deadline'},
	'no-quorum': {status: 503, outcome: 'notRun', title: 'The control replicas cannot commit'},
	'no-configuration': {status: 503, outcome: 'notRun', title: 'No configuration is in force on this instance yet'},
	'configuration-expired': {status: 503, outcome: 'notRun', title: 'The configuration could not be confirmed in time'},
	'shutting-down': {status: 503, outcome: 'notRun', title: 'The instance is shutting down'},
	'deadline-exceeded': {status: 504, outcome: 'notRun', title: 'The deadline passed before the request was sent'},
	'deadline-exceeded-after-dispatch': {status: 504, outcome: 'unknown', title: 'The deadline passed after the request was sent'},
} as const satisfies Record<string, ErrorResponse>;

/** An error kind. */
export type ErrorKind = keyof typeof errorResponses;
