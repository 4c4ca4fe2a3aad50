import {type LoadedVersion} from '@valehitch/core';
import {match} from 'ts-pattern';
import {type FencingNumber, type OrderRecord} from './order.js';

/** What an engine says of itself on `GET /v1/state`. */
export type EngineState = {
	readonly models: readonly LoadedVersion[];
	readonly role?: string | undefined;
	/** The last order it obeyed, where it keeps that. */
	readonly lastOrder?: (FencingNumber & {readonly orderId: string}) | undefined;
};

/** What an engine's state says of an order: it was obeyed, a newer one was obeyed since, or neither. */
export type OrderStanding = 'obeyed' | 'superseded' | 'pending';

/**
Compares two fencing numbers.

@param left One number.
@param right The other.
@returns Below 0 if the left is older, above 0 if it is newer, 0 if they are equal.
@example
```ts
compareFencing({term: 1, sequence: 9}, {term: 2, sequence: 3}); // below 0
```
*/
export function compareFencing(left: FencingNumber, right: FencingNumber): number {
	return left.term - right.term || left.sequence - right.sequence;
}

/**
Reads from an engine's state how an order stands.

@param record The order.
@param state What the engine said.
@returns How the order stands.
@example
```ts
orderStanding(record, {models: []}); // 'pending'
```
*/
export function orderStanding({order, fencing}: OrderRecord, {models, role, lastOrder}: EngineState): OrderStanding {
	if (lastOrder !== undefined && compareFencing(lastOrder, fencing) > 0) {
		return 'superseded';
	}

	const isObeyed = match(order)
		.with({type: 'load'}, wanted => includes(models, wanted))
		.with({type: 'unload'}, wanted => !includes(models, wanted))
		.with({type: 'set-role'}, wanted => role === wanted.role)
		.exhaustive();
	return isObeyed ? 'obeyed' : 'pending';
}

function includes(models: readonly LoadedVersion[], wanted: LoadedVersion): boolean {
	return models.some(({model, version}) => model === wanted.model && version === wanted.version);
}
