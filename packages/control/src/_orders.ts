import {type Failure, failure, type ServerId} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type CompleteOrderCommand, type IssueOrderCommand} from './command.js';
import {type LogPosition} from './command-answer.js';
import {type ControlLimits} from './control-limits.js';
import {type OrderId} from './ids.js';
import {type EngineOrder, type OrderRecord} from './order.js';

const mostOpenOrders = 4096;

/** The orders to engines: open ones until they are completed, and the completed ones of late. */
export class Orders {
	readonly #open = new Map<OrderId, OrderRecord>();
	readonly #completed = new Map<OrderId, OrderRecord>();

	constructor(data: readonly OrderRecord[] = []) {
		for (const record of data) {
			const kept = record.outcome === 'open' ? this.#open : this.#completed;
			kept.set(record.orderId, record);
		}
	}

	/** The open orders in the order of the log, or those of one server. */
	open(server?: ServerId): readonly OrderRecord[] {
		return [...this.#open.values()].filter(record => server === undefined || record.server === server);
	}

	/** The completed orders that are kept, the oldest first. */
	get completed(): readonly OrderRecord[] {
		return [...this.#completed.values()];
	}

	issue({orderId, server, order, at}: IssueOrderCommand, {position, limits}: {readonly position: LogPosition; readonly limits: ControlLimits}): Either<Failure, OrderRecord> {
		const known = this.#find(orderId);
		if (known !== undefined) {
			return known.server === server && isSame(known.order, order)
				? Right(known)
				: Left(failure('change-id-reused', `Got order id ${orderId} with another order, wanted a new order id`));
		}

		if (this.open(server).length >= limits.openOrdersPerServer || this.#open.size >= mostOpenOrders) {
			return Left(failure('limit-reached', `Got ${this.open(server).length} open orders for ${server} and ${this.#open.size} in all, wanted fewer`));
		}

		const record: OrderRecord = {
			orderId, server, order, fencing: {term: position.term, sequence: position.index}, issuedAt: at, outcome: 'open',
		};
		this.#open.set(orderId, record);
		return Right(record);
	}

	complete({orderId, fencing, outcome, detail, at}: CompleteOrderCommand, limits: ControlLimits): Either<Failure, OrderRecord> {
		const known = this.#find(orderId);
		if (known?.fencing.term !== fencing.term || known.fencing.sequence !== fencing.sequence) {
			return Left(failure('not-found', `Got order ${orderId} with term ${fencing.term} and sequence ${fencing.sequence}, wanted one that was issued so`));
		}

		if (known.outcome !== 'open') {
			return Right(known);
		}

		const record: OrderRecord = {
			...known, outcome, ...(detail !== undefined && {detail}), completedAt: at,
		};
		this.#open.delete(orderId);
		this.#completed.set(orderId, record);
		this.#dropOldest(limits);
		return Right(record);
	}

	toData(): readonly OrderRecord[] {
		return [...this.#completed.values(), ...this.#open.values()];
	}

	#find(orderId: OrderId): OrderRecord | undefined {
		return this.#open.get(orderId) ?? this.#completed.get(orderId);
	}

	#dropOldest({completedOrders}: ControlLimits): void {
		for (const oldest of this.#completed.keys()) {
			if (this.#completed.size <= completedOrders) {
				return;
			}

			this.#completed.delete(oldest);
		}
	}
}

function isSame(left: EngineOrder, right: EngineOrder): boolean {
	if (left.type === 'set-role' || right.type === 'set-role') {
		return left.type === 'set-role' && right.type === 'set-role' && left.role === right.role;
	}

	return left.type === right.type && left.model === right.model && left.version === right.version;
}
