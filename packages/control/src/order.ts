import {
	type ModelId, type ServerId, type VersionId,
} from '@valehitch/core';
import {type OrderId} from './ids.js';

/** An order to an engine. */
export type EngineOrder
	= | {readonly type: 'load'; readonly model: ModelId; readonly version: VersionId}
		| {readonly type: 'unload'; readonly model: ModelId; readonly version: VersionId}
	/** `role` is one that the engine supports, such as `prefill`, `decode` or `both`. */
		| {readonly type: 'set-role'; readonly role: string};

/** The fencing number of an order: its position in the replicated log, ordered by term and then by sequence. */
export type FencingNumber = {
	readonly term: number;
	/** The log index of the command that issued the order. */
	readonly sequence: number;
};

/** The outcome of an order: executed by the engine, refused by the engine, or abandoned. */
export type OrderOutcome = 'done' | 'refused' | 'failed';

/** An order in the replicated state. */
export type OrderRecord = {
	readonly orderId: OrderId;
	readonly server: ServerId;
	readonly order: EngineOrder;
	readonly fencing: FencingNumber;
	/** Unix time in milliseconds. */
	readonly issuedAt: number;
	readonly outcome: OrderOutcome | 'open';
	/** The engine's message. */
	readonly detail?: string;
	/** Unix time in milliseconds. */
	readonly completedAt?: number;
};
