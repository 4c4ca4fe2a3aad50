import {createHash} from 'node:crypto';
import path from 'node:path';

/** The keys of a test deployment. */
export const deploymentKeys = {
	operators: 'operator-key',
	backends: 'backend-key',
	peers: 'test-peers-key-0123456789abcdef012345',
	sessions: 'test-session-key-0123456789abcdef0123',
} as const;

export type DaemonRole = 'entry' | 'control';

export type DaemonPorts = {
	readonly callers: number;
	readonly backends: number;
	readonly operators: number;
	readonly peers: number;
};

export type DaemonWithPorts = {
	readonly instance: string;
	readonly zone: string;
	readonly roles: readonly DaemonRole[];
	readonly ports: DaemonPorts;
};

export type SettingsFileOptions = {
	readonly folder: string;
	readonly daemons: readonly DaemonWithPorts[];
	/** Top-level settings that replace the generated ones. */
	readonly overrides?: Readonly<Record<string, unknown>> | undefined;
};

const host = '127.0.0.1';

/** Formats the settings of a daemon as JSON, which is also valid YAML. */
export function formatSettings(daemon: DaemonWithPorts, options: SettingsFileOptions): string {
	const {instance, zone, roles, ports} = daemon;
	const settings = {
		instance,
		region: 'prairie-south',
		zone,
		roles,
		listen: Object.fromEntries(Object.entries(ports).map(([name, port]) => [name, {host, port}])),
		control: options.daemons.filter(other => hasControlRole(other)).map(other => ({
			instance: other.instance, zone: other.zone, host, port: other.ports.peers,
		})),
		...(hasControlRole(daemon) && {dataFolder: path.join(options.folder, 'data', instance)}),
		keys: {
			operators: [digestOf(deploymentKeys.operators)],
			backends: [digestOf(deploymentKeys.backends)],
			peers: deploymentKeys.peers,
			sessions: [{id: 'k1', key: deploymentKeys.sessions}],
		},
		limits: {bodyBytes: 4_194_304, headerBytes: 16_384},
		timing: {announcementRenewMilliseconds: 1000, configurationLeaseMilliseconds: 5000, shutdownMilliseconds: 10_000},
		isolation: {serve: 'settled'},
		logging: {level: 'info'},
		metrics: {host, port: 8125, prefix: 'valehitch'},
		...options.overrides,
	};
	return `${JSON.stringify(settings, undefined, '  ')}\n`;
}

export function digestOf(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

function hasControlRole({roles}: DaemonWithPorts): boolean {
	return roles.includes('control');
}
