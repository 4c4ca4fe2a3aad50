import {type ControlLimits} from '@valehitch/control';
import {type InstanceId, type ZoneId} from '@valehitch/core';

/** The role of an instance: `entry` handles callers' requests, `control` maintains the replicated configuration. */
export type Role = 'entry' | 'control';

/** The minimum level of log records that are written. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal';

/** What an instance continues to serve after its configuration lease has expired. */
export type IsolationMode = 'settled' | 'all' | 'none';

/** An address to listen on. */
export type ListenAddress = {
	/** A host name or an IP address, 1 to 255 characters; required. */
	readonly host: string;
	/** A TCP port, a whole number from 0 to 65535; required. 0 selects any free port. */
	readonly port: number;
};

/** The addresses that an instance listens on. Their ports must differ unless they are 0. */
export type ListenSettings = {
	/** The address for callers' requests; required. */
	readonly callers: ListenAddress;
	/** The address for announcements of backend servers; required. */
	readonly backends: ListenAddress;
	/** The address for operators, who read and change the configuration; required. */
	readonly operators: ListenAddress;
	/** The address for connections from other daemons; required. */
	readonly peers: ListenAddress;
};

/** An instance with the control role. */
export type ControlInstance = {
	/** The name of the instance, 1 to 64 of a to z, 0 to 9, dot, dash and underscore; required, unique. */
	readonly instance: InstanceId;
	/** The zone it runs in, in the format of an instance name; required. */
	readonly zone: ZoneId;
	/** The host its peers connect to, 1 to 255 characters; required. */
	readonly host: string;
	/** The TCP port its peers connect to, a whole number from 0 to 65535; required. 0 is allowed only for this instance itself. */
	readonly port: number;
};

/** A key for signing session tokens. */
export type SessionKey = {
	/** The id of the key in tokens, 1 to 64 of a to z, 0 to 9, dot, dash and underscore; required, unique. */
	readonly id: string;
	/** The secret, 16 to 1024 characters; required. */
	readonly key: string;
};

/** The keys that an instance accepts, and those that it signs with. */
export type KeySettings = {
	/** SHA-256 digests of the operators' keys, 64 hexadecimal digits in lower case; none by default, at most 64. */
	readonly operators: readonly string[];
	/** SHA-256 digests of the backend servers' keys, 64 hexadecimal digits in lower case; none by default, at most 64. */
	readonly backends: readonly string[];
	/** The secret shared by all daemons, which authenticates the links between them, 16 to 1024 characters; required. */
	readonly peers: string;
	/** The keys for session tokens, 1 to 16; required. The first key signs, all keys verify. */
	readonly sessions: readonly SessionKey[];
};

/** Size limits for callers' requests. */
export type LimitSettings = {
	/** The maximum size of a request body in bytes; 4194304 by default, 1024 to 104857600. */
	readonly bodyBytes: number;
	/** The maximum size of the request headers in bytes; 16384 by default, 1024 to 1048576. */
	readonly headerBytes: number;
};

/** Leases and timeouts. */
export type TimingSettings = {
	/** The interval in milliseconds at which a backend server renews its announcement; 1000 by default, 50 to 60000. */
	readonly announcementRenewMilliseconds: number;
	/** The time in milliseconds for which a configuration is considered current without contact to the control role; 5000 by default, 100 to 600000. */
	readonly configurationLeaseMilliseconds: number;
	/** The time in milliseconds that a graceful shutdown waits for requests in progress; 30000 by default, 0 to 3600000. */
	readonly shutdownMilliseconds: number;
	/** The maximum time in milliseconds without output from an engine during a streamed response; 10000 by default, 50 to 3600000. */
	readonly stallMilliseconds: number;
};

/** Settings of the replicated log of the control role. */
export type ControlLogSettings = {
	/** The number of entries after which a snapshot is taken; 10000 by default, 100 to 10000000. */
	readonly snapshotEntries: number;
	/** The size of commands in bytes after which a snapshot is taken; 8388608 by default, 65536 to 1073741824. */
	readonly snapshotBytes: number;
	/** The segment size in bytes at which a new segment of the log is started; 4194304 by default, 4096 to 1073741824. */
	readonly segmentBytes: number;
	/** The position of the first bill that every replica's archive must contain, identical in all settings files; 1 by default, 1 to 9007199254740991. Raise it before removing older segments of the archive. */
	readonly firstArchivedBill: number;
};

/** The behavior of an instance that cannot reach the control role. */
export type IsolationSettings = {
	/** The versions that are still served: `settled`, `all` or `none`; `settled` by default. */
	readonly serve: IsolationMode;
};

/** The thresholds at which one measure classifies a version as bad. */
export type BadVersionThresholds = {
	/** The tolerated difference from the version it replaces; 0.05 for ratings and 0.03 for failures by default, 0.001 to 1. */
	readonly tolerance: number;
	/** The maximum share of false alarms within each horizon; 0.05 by default, 0.000001 to 0.5. */
	readonly falseAlarmShare: number;
	/** The number of observations within which the share of false alarms is bounded; 1000 ratings and 100000 outcomes by default, 10 to 1000000000. */
	readonly horizon: number;
};

/** The thresholds at which a version is classified as bad. */
export type BadVersionsSettings = {
	/** The thresholds for ratings; optional. */
	readonly ratings: BadVersionThresholds;
	/** The thresholds for the share of failures; optional. */
	readonly failures: BadVersionThresholds;
};

/** Logging settings. */
export type LoggingSettings = {
	/** The minimum level of records that are written: trace, debug, info, warn, error or fatal; `info` by default. */
	readonly level: LogLevel;
};

/** The StatsD server that metrics are sent to over UDP. */
export type MetricsSettings = {
	/** A host name or an IP address, 1 to 255 characters; required. */
	readonly host: string;
	/** A UDP port, a whole number from 1 to 65535; required. */
	readonly port: number;
	/** The prefix of metric names, 1 to 64 of letters, digits, dot, dash and underscore; `valehitch` by default. */
	readonly prefix: string;
};

/** The settings of one daemon. */
export type Settings = {
	/** The name of the daemon, 1 to 64 of a to z, 0 to 9, dot, dash and underscore; required, unique within a deployment. */
	readonly instance: InstanceId;
	/** The region it runs in, in the format of an instance name; required. */
	readonly region: string;
	/** The availability zone it runs in, in the format of an instance name; required. */
	readonly zone: ZoneId;
	/** The roles of the instance, one or both of entry and control, without duplicates; required. */
	readonly roles: readonly Role[];
	/** The addresses it listens on; required. */
	readonly listen: ListenSettings;
	/** The instances with the control role, identical in all settings files: an odd number, at most 6; required. */
	readonly control: readonly ControlInstance[];
	/** The path of the replicated log's data folder, 1 to 4096 characters; required with the control role, otherwise optional. */
	readonly dataFolder?: string | undefined;
	/** Settings of the replicated log of the control role; optional. */
	readonly controlLog: ControlLogSettings;
	/** Whether operators may block links between daemons to inject faults in tests; false by default. */
	readonly faults: boolean;
	/** Keys and secrets; required. */
	readonly keys: KeySettings;
	/** Limits on the state that the control role keeps in memory, identical in all settings files; optional. */
	readonly controlLimits: ControlLimits;
	/** Size limits for requests; optional. */
	readonly limits: LimitSettings;
	/** Leases and timeouts; optional. */
	readonly timing: TimingSettings;
	/** The behavior of an isolated instance; optional. */
	readonly isolation: IsolationSettings;
	/** The thresholds at which a version is classified as bad; optional. */
	readonly badVersions: BadVersionsSettings;
	/** Logging settings; optional. */
	readonly logging: LoggingSettings;
	/** The destination of metrics; no metrics are sent by default. */
	readonly metrics?: MetricsSettings | undefined;
};
