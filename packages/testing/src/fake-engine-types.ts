import {type Behaviour} from './behaviour.js';
import {type ObeyedOrder} from './fake-engine-orders.js';

/** How to start a fake engine. */
export type FakeEngineOptions = {
	/** The versions it has loaded, such as `tag-small@1.0`; it refuses others as not run. */
	readonly models: readonly string[];
	/** The port on 127.0.0.1; a free one by default. */
	readonly port?: number;
	/** Whether it refuses an order that is older than the last one it obeyed; true by default. */
	readonly checksFencing?: boolean;
	/** Members of the behaviour that differ from the defaults. */
	readonly behaviour?: Partial<Behaviour>;
};

/** One run, as seen from outside the router. */
export type EngineRun = {
	readonly requestId: string;
	readonly attempt: string;
	readonly model: string;
	readonly version: string;
	readonly streamed: boolean;
	/** Whether the whole answer was handed to the connection. */
	completed: boolean;
	/** Whether the caller closed the connection first. */
	cancelled: boolean;
};

/** A running fake engine. */
export type FakeEngine = {
	readonly address: string;
	readonly port: number;
	/** Change its members to change what the engine does. */
	readonly behaviour: Behaviour;
	readonly runs: readonly EngineRun[];
	/** The orders that it obeyed. */
	readonly orders: readonly ObeyedOrder[];
	/** The versions it has loaded now. */
	readonly models: () => readonly string[];
	readonly checksFencing: boolean;
	/** Requests it works on now. */
	readonly active: () => number;
	/** Stops listening and waits for the requests in progress. */
	readonly close: () => Promise<void>;
	/** Stops listening and destroys all connections. */
	readonly kill: () => Promise<void>;
};
