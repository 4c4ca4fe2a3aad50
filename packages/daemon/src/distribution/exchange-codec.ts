import {type InstanceId, toRevision, type ZoneId} from '@valehitch/core';
import {type DigestMessage, type LoadRecord} from '@valehitch/membership';
import {type Exchange, type ExchangeReply, type SharedRecord} from './messages.js';

type PartTuple<Item> = readonly [
	incarnation: number, since: number, change: number, heldIncarnation: number, heldChange: number,
	hash: number | undefined, records: ReadonlyArray<readonly [string, Item]>,
];

type PartsTuple = readonly [
	revision: number,
	configuration: Uint8Array | undefined,
	records: PartTuple<SharedRecord>,
	loads: PartTuple<LoadRecord> | undefined,
];

/** The wire form of an exchange: a tuple without member names, since exchanges are sent several times per second. */
export type ExchangeTuple = readonly [
	instance: InstanceId, incarnation: number, number: number, confirmed: ReadonlyArray<readonly [ZoneId, number]>, parts: PartsTuple,
];

/** The wire form of a reply. */
export type ReplyTuple = readonly [
	parts: PartsTuple, grantRevision: number | undefined, remainingMilliseconds: number | undefined, leader: InstanceId | undefined,
];

/**
Encodes an exchange.

@param exchange The exchange.
@returns The tuple.
@example
```ts
network.request(parent, {scope: 'distribution', type: 'exchange', body: encodeExchange(exchange)});
```
*/
export function encodeExchange({question: {instance, incarnation, number, confirmed}, ...parts}: Exchange): ExchangeTuple {
	return [instance, incarnation, number, confirmed.map(({zone, revision}) => [zone, revision]), writeParts(parts)];
}

/**
Decodes an exchange.

@param tuple The tuple from {@linkcode encodeExchange}.
@returns The exchange.
@example
```ts
node.answer(decodeExchange(message.body));
```
*/
export function decodeExchange([instance, incarnation, number, confirmed, parts]: ExchangeTuple): Exchange {
	return {
		question: {
			instance, incarnation, number, confirmed: confirmed.map(([zone, revision]) => ({zone, revision: toRevision(revision)})),
		},
		...readParts(parts),
	};
}

/**
Encodes a reply. The remaining time of a lease is rounded down to milliseconds.

@param reply The reply.
@returns The tuple.
@example
```ts
return encodeReply(node.answer(exchange));
```
*/
export function encodeReply({grant, leader, ...parts}: ExchangeReply): ReplyTuple {
	return [writeParts(parts), grant?.revision, grant === undefined ? undefined : Math.floor(grant.remainingMilliseconds), leader];
}

/**
Decodes a reply.

@param tuple The tuple from {@linkcode encodeReply}.
@returns The reply.
@example
```ts
const reply = decodeReply(tuple);
```
*/
export function decodeReply([parts, grantRevision, remainingMilliseconds, leader]: ReplyTuple): ExchangeReply {
	const grant = isPresent(grantRevision) && isPresent(remainingMilliseconds)
		? {revision: toRevision(grantRevision), remainingMilliseconds}
		: undefined;
	return {...readParts(parts), grant, leader: leader ?? undefined};
}

function writeParts({revision, configuration, records, loads}: Omit<Exchange, 'question'>): PartsTuple {
	return [revision, configuration, writePart(records), loads === undefined ? undefined : writePart(loads)];
}

function readParts([revision, configuration, records, loads]: PartsTuple): Omit<Exchange, 'question'> {
	return {
		revision: toRevision(revision),
		configuration: configuration ?? undefined,
		records: readPart(records),
		loads: isPresent(loads) ? readPart(loads) : undefined,
	};
}

function writePart<Item>({incarnation, since, change, held, hash, records}: DigestMessage<Item>): PartTuple<Item> {
	return [incarnation, since, change, ...held, hash, records];
}

function readPart<Item>([incarnation, since, change, heldIncarnation, heldChange, hash, records]: PartTuple<Item>): DigestMessage<Item> {
	return {
		incarnation, since, change, held: [heldIncarnation, heldChange], hash: hash ?? undefined, records,
	};
}

/** Returns whether a value is present; the transport may decode undefined as null. */
function isPresent<Value>(value: Value | undefined): value is Value {
	return (value ?? undefined) !== undefined;
}
