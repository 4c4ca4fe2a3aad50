import {type Behaviour} from './behaviour.js';
import {type ExecutedOrder} from './fake-engine-orders.js';

/** Options for `startFakeEngine`. */
export type FakeEngineOptions = {
	/** The loaded versions, such as `tag-small@1.0`; requests for others are refused with the outcome `notRun`. */
	readonly models: readonly string[];
	/** The port on 127.0.0.1; chosen by the operating system by default. */
	readonly port?: number;
	/** Whether an order older than the last executed one is refused; true by default. */
	readonly checksFencing?: boolean;
	/** Overrides of the default behaviour. */
	readonly behaviour?: Partial<Behaviour>;
};

/** A request that the engine executed. */
export type EngineRun = {
	readonly requestId: string;
	readonly attempt: string;
	readonly model: string;
	readonly version: string;
	readonly streamed: boolean;
	/** Whether the complete response was written to the connection. */
	completed: boolean;
	/** Whether the client closed the connection before that. */
	cancelled: boolean;
};

/** A running fake engine. */
export type FakeEngine = {
	readonly address: string;
	readonly port: number;
	/** The current behaviour; assign to its members to change it. */
	readonly behaviour: Behaviour;
	readonly runs: readonly EngineRun[];
	/** The executed orders. */
	readonly orders: readonly ExecutedOrder[];
	/** Returns the versions that are currently loaded. */
	readonly models: () => readonly string[];
	readonly checksFencing: boolean;
	/** Returns the number of requests in progress. */
	readonly active: () => number;
	/** Stops listening and waits for the requests in progress. */
	readonly close: () => Promise<void>;
	/** Stops listening and closes all connections immediately. */
	readonly kill: () => Promise<void>;
};
