import {type Brand} from './brand.js';

/** Names one running daemon; unique in a deployment. */
export type InstanceId = Brand<string, 'InstanceId'>;
/** Names an availability zone. */
export type ZoneId = Brand<string, 'ZoneId'>;
/** Names a workspace, the unit of permission and of billing. */
export type WorkspaceId = Brand<string, 'WorkspaceId'>;
/** Names a model. */
export type ModelId = Brand<string, 'ModelId'>;
/** Names a version of a model; unique within its model. */
export type VersionId = Brand<string, 'VersionId'>;
/** Names a plain service. */
export type ServiceId = Brand<string, 'ServiceId'>;
/** Names one backend server: a model engine or an instance of a plain service. */
export type ServerId = Brand<string, 'ServerId'>;
/** Names one arrival of a request; the ledger is keyed by it. */
export type RequestId = Brand<string, 'RequestId'>;
/** Names what a caller asks, the same for each of its tries. */
export type RequestFingerprint = Brand<string, 'RequestFingerprint'>;
/** Names one change of an operator, so that a resend can be told from a new change. */
export type ChangeId = Brand<string, 'ChangeId'>;
/** Numbers the configurations in the order in which they were committed; the first is 1. */
export type Revision = Brand<number, 'Revision'>;

/**
Marks a string as an id of the wanted kind.

The caller has checked the text, for instance with a schema.

@param text The id as text.
@returns The same text, branded.
@example
```ts
const zone = toId<ZoneId>('prairie-south-a');
```
*/
export function toId<Id extends Brand<string, string>>(text: string): Id {
	return text as Id;
}

/**
Marks a number as a revision.

@param number A whole number from 0; 0 means that nothing was committed yet.
@returns The same number, branded.
@example
```ts
const none = toRevision(0);
```
*/
export function toRevision(number: number): Revision {
	return number as Revision;
}
