import {type Brand} from './brand.js';

/** Identifies one running daemon. Unique within a deployment. */
export type InstanceId = Brand<string, 'InstanceId'>;
/** Identifies an availability zone. */
export type ZoneId = Brand<string, 'ZoneId'>;
/** Identifies a workspace, the unit of authorization and billing. */
export type WorkspaceId = Brand<string, 'WorkspaceId'>;
/** Identifies a model. */
export type ModelId = Brand<string, 'ModelId'>;
/** Identifies a version of a model. Unique within its model. */
export type VersionId = Brand<string, 'VersionId'>;
/** Identifies a plain service. */
export type ServiceId = Brand<string, 'ServiceId'>;
/** Identifies one backend server: a model engine or an instance of a plain service. */
export type ServerId = Brand<string, 'ServerId'>;
/** Identifies one received request. The ledger is keyed by it. */
export type RequestId = Brand<string, 'RequestId'>;
/** Identifies the content of a caller's request. The same for each of its retries. */
export type RequestFingerprint = Brand<string, 'RequestFingerprint'>;
/** Identifies a part of prompts, whichever requests contain it. */
export type PromptPartFingerprint = Brand<string, 'PromptPartFingerprint'>;
/** Identifies what may crash the servers that process it. */
export type SuspectFingerprint = RequestFingerprint | PromptPartFingerprint;
/** Identifies one change by an operator, so that a resent change can be distinguished from a new one. */
export type ChangeId = Brand<string, 'ChangeId'>;
/** The number of a configuration in commit order, starting at 1. */
export type Revision = Brand<number, 'Revision'>;

/**
Converts a string to a branded id.

The string is not validated; the caller must have checked it, for example with a schema.

@param text The id as a string.
@returns The same string, branded.
@example
```ts
const zone = toId<ZoneId>('prairie-south-a');
```
*/
export function toId<Id extends Brand<string, string>>(text: string): Id {
	return text as Id;
}

/**
Converts a number to a revision.

@param number A non-negative integer. 0 means that no configuration has been committed.
@returns The same number, branded.
@example
```ts
const none = toRevision(0);
```
*/
export function toRevision(number: number): Revision {
	return number as Revision;
}
