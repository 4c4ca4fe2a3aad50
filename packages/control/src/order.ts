import {
	type ModelId, type ServerId, type VersionId,
} from '@valehitch/core';
import {type OrderId} from './ids.js';

/** What an engine is told to do. */
export type EngineOrder
	= | {readonly type: 'load'; readonly model: ModelId; readonly version: VersionId}
		| {readonly type: 'unload'; readonly model: ModelId; readonly version: VersionId}
	/** Such as `prefill`, `decode` or `both`; the engine says which it knows. */
		| {readonly type: 'set-role'; readonly role: string};

/** The fencing number of an order: its place in the replicated log. Higher terms are newer, then higher sequences. */
export type FencingNumber = {
	readonly term: number;
	/** The log index of the command that issued the order. */
	readonly sequence: number;
};

/** How an order ended: the engine obeyed, it refused, or the order was given up. */
export type OrderOutcome = 'done' | 'refused' | 'failed';

/** An order in the replicated state. */
export type OrderRecord = {
	readonly orderId: OrderId;
	readonly server: ServerId;
	readonly order: EngineOrder;
	readonly fencing: FencingNumber;
	/** Milliseconds since 1970. */
	readonly issuedAt: number;
	readonly outcome: OrderOutcome | 'open';
	/** What the engine said. */
	readonly detail?: string;
	/** Milliseconds since 1970. */
	readonly completedAt?: number;
};
