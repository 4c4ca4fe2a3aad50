import {type DaemonPorts, type DaemonRole} from './_settings-file.js';
import {type ManagedProcess} from './managed-process.js';

/** A daemon of a deployment. */
export type DaemonPlan = {
	readonly instance: string;
	readonly zone: string;
	readonly roles: readonly DaemonRole[];
};

/** A fake engine or a fake service of a deployment. */
export type BackendPlan = {
	readonly server: string;
	readonly zone: string;
	/** For an engine: its versions, such as `tag-small@1.0`. */
	readonly models?: readonly string[];
	/** For an engine: whether it refuses orders that are older than the last; true by default. */
	readonly checksFencing?: boolean;
	/** For a plain service: its name. */
	readonly service?: string;
	/** 8 by default. */
	readonly capacity?: number;
};

/** What to start. */
export type DeploymentOptions = {
	readonly daemons: readonly DaemonPlan[];
	readonly backends: readonly BackendPlan[];
	/** The operators' document, as in examples/configuration.yaml. */
	readonly configuration: unknown;
	/** For settings, data and logs; a new one under the system's temporary folder by default. */
	readonly folder?: string;
	/** Top-level members of the settings that replace the generated ones. */
	readonly settings?: Readonly<Record<string, unknown>>;
	/** The daemon's script; the workspace's own by default. */
	readonly daemonScript?: string;
	/** How long each step of the start may take; 20 000 by default. */
	readonly startMilliseconds?: number;
};

/** A daemon that was started. */
export type RunningDaemon = DaemonPlan & {
	readonly ports: DaemonPorts;
	/** The address for callers. */
	readonly callers: string;
	/** The address for operators. */
	readonly operators: string;
	/** Stop, kill and start it here. */
	readonly process: ManagedProcess;
};

/** A fake that was started. */
export type RunningBackend = BackendPlan & {
	readonly address: string;
	/** Stop, kill and start it here. */
	readonly process: ManagedProcess;
};
