import {type ControlLimits} from '@valehitch/control';
import {type InstanceId, type ZoneId} from '@valehitch/core';

/** What an instance does: `entry` takes callers' requests, `control` keeps the replicated configuration. */
export type Role = 'entry' | 'control';

/** The level from which log records are written. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal';

/** What an instance still serves once its configuration lease ran out. */
export type IsolationServe = 'settled' | 'all' | 'none';

/** An address to listen on. */
export type ListenAddress = {
	/** A host name or an IP address, 1 to 255 characters; required. */
	readonly host: string;
	/** A TCP port, a whole number from 0 to 65535; required. 0 takes any free port. */
	readonly port: number;
};

/** The addresses that an instance listens on; their ports differ, except for 0. */
export type ListenSettings = {
	/** Where callers send requests; required. */
	readonly callers: ListenAddress;
	/** Where backend servers announce themselves; required. */
	readonly backends: ListenAddress;
	/** Where operators change and read the configuration; required. */
	readonly operators: ListenAddress;
	/** Where the other daemons connect; required. */
	readonly peers: ListenAddress;
};

/** One instance with the role control. */
export type ControlInstance = {
	/** The instance's name, 1 to 64 of a to z, 0 to 9, dot, dash and underscore; required, each once. */
	readonly instance: InstanceId;
	/** The zone it runs in, written like an instance's name; required. */
	readonly zone: ZoneId;
	/** The host its peers connect to, 1 to 255 characters; required. */
	readonly host: string;
	/** The TCP port its peers connect to, a whole number from 0 to 65535; required. 0 only for this instance itself. */
	readonly port: number;
};

/** A key that signs session tokens. */
export type SessionKey = {
	/** Names the key in tokens, 1 to 64 of a to z, 0 to 9, dot, dash and underscore; required, each once. */
	readonly id: string;
	/** The secret, 16 to 1024 characters; required. */
	readonly key: string;
};

/** The keys that an instance accepts and signs with. */
export type KeySettings = {
	/** SHA-256 digests of the operators' keys, 64 hexadecimal digits in lower case; none by default, at most 64. */
	readonly operators: readonly string[];
	/** SHA-256 digests of the back ends' keys, 64 hexadecimal digits in lower case; none by default, at most 64. */
	readonly backends: readonly string[];
	/** The secret that all daemons share and that signs the links between them, 16 to 1024 characters; required. */
	readonly peers: string;
	/** The keys for session tokens, 1 to 16; required. The first signs, all verify. */
	readonly sessions: readonly SessionKey[];
};

/** Bounds on what a caller may send. */
export type LimitSettings = {
	/** The largest request body in bytes; 4194304 by default, 1024 to 104857600. */
	readonly bodyBytes: number;
	/** The largest request head in bytes; 16384 by default, 1024 to 1048576. */
	readonly headerBytes: number;
};

/** How long things last. */
export type TimingSettings = {
	/** Milliseconds after which a backend server renews its announcement; 1000 by default, 50 to 60000. */
	readonly announcementRenewMilliseconds: number;
	/** Milliseconds for which a configuration is held to be the newest without word from the control role; 5000 by default, 100 to 600000. */
	readonly configurationLeaseMilliseconds: number;
	/** Milliseconds that a planned stop waits for requests in progress; 30000 by default, 0 to 3600000. */
	readonly shutdownMilliseconds: number;
	/** Milliseconds for which an engine may say nothing in the middle of a streamed answer; 10000 by default, 50 to 3600000. */
	readonly stallMilliseconds: number;
};

/** The replicated log of the control role. */
export type ControlLogSettings = {
	/** Entries after which a snapshot is taken; 10000 by default, 100 to 10000000. */
	readonly snapshotEntries: number;
	/** Bytes of commands after which a snapshot is taken; 8388608 by default, 65536 to 1073741824. */
	readonly snapshotBytes: number;
	/** Bytes after which the next segment of the log is begun; 4194304 by default, 4096 to 1073741824. */
	readonly segmentBytes: number;
	/** The position of the first bill that every replica's archive must hold, the same in every file; 1 by default, 1 to 9007199254740991. Raise it before older segments of the archive are taken away. */
	readonly firstArchivedBill: number;
};

/** What happens when an instance is cut off from the control role. */
export type IsolationSettings = {
	/** What is still served: `settled` versions only, `all` or `none`; `settled` by default. */
	readonly serve: IsolationServe;
};

/** When a version counts as bad by one measure. */
export type BadVersionSettings = {
	/** How much worse than the version it replaces is still not bad; 0.05 for ratings and 0.03 for failures by default, 0.001 to 1. */
	readonly tolerance: number;
	/** The most false alarms, as a share, within each horizon; 0.05 by default, 0.000001 to 0.5. */
	readonly falseAlarmShare: number;
	/** The observations within which the share holds; 1000 ratings and 100000 outcomes by default, 10 to 1000000000. */
	readonly horizon: number;
};

/** When a version counts as bad. */
export type BadVersionsSettings = {
	/** By its ratings; has defaults. */
	readonly ratings: BadVersionSettings;
	/** By its share of failures; has defaults. */
	readonly failures: BadVersionSettings;
};

/** What is logged. */
export type LoggingSettings = {
	/** The level from which records are written: trace, debug, info, warn, error or fatal; `info` by default. */
	readonly level: LogLevel;
};

/** Where metrics are sent, by UDP in the statsd form. */
export type MetricsSettings = {
	/** A host name or an IP address, 1 to 255 characters; required. */
	readonly host: string;
	/** A UDP port, a whole number from 1 to 65535; required. */
	readonly port: number;
	/** What the metrics' names start with, 1 to 64 of letters, digits, dot, dash and underscore; `valehitch` by default. */
	readonly prefix: string;
};

/** The settings of one daemon. */
export type Settings = {
	/** The daemon's name, 1 to 64 of a to z, 0 to 9, dot, dash and underscore; required, unique in a deployment. */
	readonly instance: InstanceId;
	/** The region it runs in, written like an instance's name; required. */
	readonly region: string;
	/** The availability zone it runs in, written like an instance's name; required. */
	readonly zone: ZoneId;
	/** What it does, one or both of entry and control, each once; required. */
	readonly roles: readonly Role[];
	/** The addresses it listens on; required. */
	readonly listen: ListenSettings;
	/** The instances with the role control, the same in every file: an odd number, at most 6; required. */
	readonly control: readonly ControlInstance[];
	/** The folder of the replicated log, 1 to 4096 characters; required with the role control, else absent by default. */
	readonly dataFolder?: string | undefined;
	/** The replicated log of the control role; has defaults. */
	readonly controlLog: ControlLogSettings;
	/** Whether operators may cut links between daemons, for failure tests; false by default. */
	readonly faults: boolean;
	/** The keys; required. */
	readonly keys: KeySettings;
	/** Bounds of what the control role keeps in memory, the same in every file; has defaults. */
	readonly controlLimits: ControlLimits;
	/** Bounds on requests; has defaults. */
	readonly limits: LimitSettings;
	/** Leases and timeouts; has defaults. */
	readonly timing: TimingSettings;
	/** What a cut-off instance serves; has defaults. */
	readonly isolation: IsolationSettings;
	/** When a version counts as bad; has defaults. */
	readonly badVersions: BadVersionsSettings;
	/** What is logged; has defaults. */
	readonly logging: LoggingSettings;
	/** Where metrics are sent; by default absent, and then none are sent. */
	readonly metrics?: MetricsSettings | undefined;
};
