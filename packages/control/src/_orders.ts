import {type Failure, failure, type ServerId} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type CompleteOrderCommand, type IssueOrderCommand} from './command.js';
import {type LogPosition} from './command-response.js';
import {type ControlLimits} from './control-limits.js';
import {type OrderId} from './ids.js';
import {type EngineOrder, type OrderRecord} from './order.js';

const maximumOpenOrders = 4096;

/** The orders to engines: all open ones and the most recently completed ones. */
export class Orders {
	readonly #open = new Map<OrderId, OrderRecord>();
	readonly #completed = new Map<OrderId, OrderRecord>();

	constructor(data: readonly OrderRecord[] = []) {
		for (const record of data) {
			const target = record.outcome === 'open' ? this.#open : this.#completed;
			target.set(record.orderId, record);
		}
	}

	/** Returns the open orders, of one server if given, in the order of the log. */
	open(server?: ServerId): readonly OrderRecord[] {
		return [...this.#open.values()].filter(record => server === undefined || record.server === server);
	}

	/** The retained completed orders, oldest first. */
	get completed(): readonly OrderRecord[] {
		return [...this.#completed.values()];
	}

	issue({orderId, server, order, at}: IssueOrderCommand, {position, limits}: {readonly position: LogPosition; readonly limits: ControlLimits}): Either<Failure, OrderRecord> {
		const existing = this.#find(orderId);
		if (existing !== undefined) {
			return existing.server === server && isSameOrder(existing.order, order)
				? Right(existing)
				: Left(failure('change-id-reused', `Order id ${orderId} was already used for a different order`));
		}

		if (this.open(server).length >= limits.openOrdersPerServer || this.#open.size >= maximumOpenOrders) {
			return Left(failure('limit-reached', `Too many open orders: ${this.open(server).length} for server ${server}, ${this.#open.size} in total`));
		}

		const record: OrderRecord = {
			orderId, server, order, fencing: {term: position.term, sequence: position.index}, issuedAt: at, outcome: 'open',
		};
		this.#open.set(orderId, record);
		return Right(record);
	}

	complete({orderId, fencing, outcome, detail, at}: CompleteOrderCommand, limits: ControlLimits): Either<Failure, OrderRecord> {
		const existing = this.#find(orderId);
		if (existing?.fencing.term !== fencing.term || existing.fencing.sequence !== fencing.sequence) {
			return Left(failure('not-found', `No order ${orderId} with term ${fencing.term} and sequence ${fencing.sequence} was issued`));
		}

		if (existing.outcome !== 'open') {
			return Right(existing);
		}

		const record: OrderRecord = {
			...existing, outcome, ...(detail !== undefined && {detail}), completedAt: at,
		};
		this.#open.delete(orderId);
		this.#completed.set(orderId, record);
		this.#evictOldestCompleted(limits);
		return Right(record);
	}

	toData(): readonly OrderRecord[] {
		return [...this.#completed.values(), ...this.#open.values()];
	}

	#find(orderId: OrderId): OrderRecord | undefined {
		return this.#open.get(orderId) ?? this.#completed.get(orderId);
	}

	#evictOldestCompleted({completedOrders}: ControlLimits): void {
		for (const oldest of this.#completed.keys()) {
			if (this.#completed.size <= completedOrders) {
				return;
			}

			this.#completed.delete(oldest);
		}
	}
}

function isSameOrder(left: EngineOrder, right: EngineOrder): boolean {
	if (left.type === 'set-role' || right.type === 'set-role') {
		return left.type === 'set-role' && right.type === 'set-role' && left.role === right.role;
	}

	return left.type === right.type && left.model === right.model && left.version === right.version;
}
