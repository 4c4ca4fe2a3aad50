import {type BackendPlan, type DaemonPlan} from '../deployment.js';

/** A kind of request in a workload. */
export type RequestKind = {
	/** The request class that the caller sends. */
	readonly class: string;
	/** The share of all requests, from 0 to 1. */
	readonly share: number;
	/** A streamed chat, a chat with a complete response, or a non-repeatable call of a plain service. */
	readonly form: 'streamed' | 'whole' | 'call';
	readonly promptWords: number;
	readonly maxTokens: number;
	readonly qualityTarget: number;
	/** The time allowed from the first attempt to the last byte. */
	readonly deadlineMilliseconds: number;
};

/** A workspace and its share of the requests. */
export type WorkloadWorkspace = {
	readonly name: string;
	readonly key: string;
	readonly share: number;
};

/** The speed of a fake engine. */
export type EngineSpeed = {
	readonly firstTokenMilliseconds: number;
	readonly tokenMilliseconds: number;
	readonly answerTokens: number;
	/** The number of concurrent requests up to which the engine runs at full speed; beyond it, each request slows down. */
	readonly fullSpeedRequests: number;
};

/** A workload with the deployment that it runs on, scaled down to one machine. */
export type Workload = {
	readonly name: string;
	readonly daemons: readonly DaemonPlan[];
	readonly backends: readonly BackendPlan[];
	readonly configuration: unknown;
	readonly kinds: readonly RequestKind[];
	readonly workspaces: readonly WorkloadWorkspace[];
	readonly requestsPerSecond: number;
	/** The plain service that calls go to; the path is `servicePath`. */
	readonly service: string;
	readonly servicePath: string;
	readonly smallModel: string;
	/** The version that the fault `version-bad` degrades, as `MODEL@VERSION`. */
	readonly degradedVersion: string;
	/** The true quality of each version. */
	readonly qualities: Readonly<Record<string, number>>;
	/** The prices of each version per million tokens, in units of account. */
	readonly prices: Readonly<Record<string, {readonly input: number; readonly output: number}>>;
	readonly speeds: Readonly<Record<string, EngineSpeed>>;
};
