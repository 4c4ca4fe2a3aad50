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
	/** For an engine: its loaded versions, such as `tag-small@1.0`. */
	readonly models?: readonly string[];
	/** For an engine: whether it refuses orders older than the last one it executed; true by default. */
	readonly checksFencing?: boolean;
	/** For a plain service: its name. */
	readonly service?: string;
	/** Number of concurrent requests; 8 by default. */
	readonly capacity?: number;
};

/** Options for `startDeployment`. */
export type DeploymentOptions = {
	readonly daemons: readonly DaemonPlan[];
	readonly backends: readonly BackendPlan[];
	/** The operators' configuration document, as in examples/configuration.yaml. */
	readonly configuration: unknown;
	/** Folder for settings, data and logs; a new one in the system's temporary folder by default. */
	readonly folder?: string;
	/** Top-level members of the settings that replace the generated ones. */
	readonly settings?: Readonly<Record<string, unknown>>;
	/** Additional environment variables of each daemon, given its folder and the peer ports of all daemons; none by default. */
	readonly environment?: (daemon: {readonly folder: string; readonly peerPorts: readonly number[]}) => Readonly<Record<string, string>>;
	/** The daemon's script; the one built in this repository by default. */
	readonly daemonScript?: string;
	/** Timeout of each startup step, in milliseconds; 20 000 by default. */
	readonly startTimeoutMilliseconds?: number;
};

/** A daemon of a running deployment. */
export type RunningDaemon = DaemonPlan & {
	readonly ports: DaemonPorts;
	/** The address of the callers' endpoint. */
	readonly callers: string;
	/** The address of the operators' endpoint. */
	readonly operators: string;
	/** A folder of the daemon for what its environment variables name. */
	readonly folder: string;
	/** Controls the daemon's process. */
	readonly process: ManagedProcess;
};

/** A fake backend server of a running deployment. */
export type RunningBackend = BackendPlan & {
	readonly address: string;
	/** Controls the server's process. */
	readonly process: ManagedProcess;
};
