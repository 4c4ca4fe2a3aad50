import {type BackendPlan, type DaemonPlan} from '../deployment.js';

/** One kind of request of a workload. */
export type RequestKind = {
	/** The class that the caller gives. */
	readonly class: string;
	/** Its share of the requests, from 0 to 1. */
	readonly share: number;
	/** A streamed chat, a chat in one piece, or a call of a plain service that may not be repeated. */
	readonly form: 'streamed' | 'whole' | 'call';
	readonly promptWords: number;
	readonly maxTokens: number;
	readonly qualityTarget: number;
	/** From the first send to the last byte. */
	readonly deadlineMilliseconds: number;
};

/** A workspace and its share of the requests. */
export type WorkloadWorkspace = {
	readonly name: string;
	readonly key: string;
	readonly share: number;
};

/** How an engine of the workload works. */
export type EngineSpeed = {
	readonly firstTokenMilliseconds: number;
	readonly tokenMilliseconds: number;
	readonly answerTokens: number;
	/** Requests it works on at full speed; with more, each gets slower. */
	readonly fullSpeedRequests: number;
};

/** A workload of the brief, scaled down. */
export type Workload = {
	readonly name: string;
	readonly daemons: readonly DaemonPlan[];
	readonly backends: readonly BackendPlan[];
	readonly configuration: unknown;
	readonly kinds: readonly RequestKind[];
	readonly workspaces: readonly WorkloadWorkspace[];
	readonly requestsPerSecond: number;
	/** The plain service of its calls, and the path called. */
	readonly service: string;
	readonly servicePath: string;
	readonly smallModel: string;
	/** The version that turns bad in that fault, as `MODEL@VERSION`. */
	readonly fragileVersion: string;
	/** The true quality of each version. */
	readonly qualities: Readonly<Record<string, number>>;
	/** Prices in units of account for a million tokens. */
	readonly prices: Readonly<Record<string, {readonly input: number; readonly output: number}>>;
	readonly speeds: Readonly<Record<string, EngineSpeed>>;
};
