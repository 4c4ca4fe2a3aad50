import {type LoadedVersion} from '@valehitch/core';
import {match} from 'ts-pattern';
import {type FencingNumber, type OrderRecord} from './order.js';

/** An engine's response to `GET /v1/state`. */
export type EngineState = {
	readonly models: readonly LoadedVersion[];
	readonly role?: string | undefined;
	/** The last order that the engine executed. Absent if the engine does not track it. */
	readonly lastOrder?: (FencingNumber & {readonly orderId: string}) | undefined;
};

/** The status of an order by the state of its engine: executed, superseded by the execution of a newer order, or neither. */
export type OrderStatus = 'executed' | 'superseded' | 'pending';

/**
Compares two fencing numbers.

@param left The first number.
@param right The second number.
@returns A negative number if `left` is older, a positive number if it is newer, and 0 if they are equal.
@example
```ts
compareFencing({term: 1, sequence: 9}, {term: 2, sequence: 3}); // below 0
```
*/
export function compareFencing(left: FencingNumber, right: FencingNumber): number {
	return left.term - right.term || left.sequence - right.sequence;
}

/**
Determines the status of an order from the state of its engine.

@param record The order.
@param state The state of the engine.
@returns The status of the order.
@example
```ts
orderStatus(record, {models: []}); // 'pending'
```
*/
export function orderStatus({order, fencing}: OrderRecord, {models, role, lastOrder}: EngineState): OrderStatus {
	if (lastOrder !== undefined && compareFencing(lastOrder, fencing) > 0) {
		return 'superseded';
	}

	const isExecuted = match(order)
		.with({type: 'load'}, target => isLoaded(models, target))
		.with({type: 'unload'}, target => !isLoaded(models, target))
		.with({type: 'set-role'}, target => role === target.role)
		.exhaustive();
	return isExecuted ? 'executed' : 'pending';
}

function isLoaded(models: readonly LoadedVersion[], target: LoadedVersion): boolean {
	return models.some(({model, version}) => model === target.model && version === target.version);
}
