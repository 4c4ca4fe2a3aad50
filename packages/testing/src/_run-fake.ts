import process from 'node:process';
import {parseArgs} from 'node:util';
import {type Announcer, startAnnouncer} from './announcer.js';

/** Command-line flags of both fake servers. */
export type FakeFlags = {
	readonly port: number;
	readonly server: string;
	readonly zone: string;
	readonly models: readonly string[];
	readonly service: string;
	readonly announce: readonly string[];
	readonly key: string;
	readonly capacity: number;
	/** Whether the engine refuses orders older than the last one it executed. */
	readonly checksFencing: boolean;
};

/** Options for `runFake`. */
export type FakeProcessOptions = {
	readonly flags: FakeFlags;
	/** The service's name; undefined for an engine. */
	readonly service?: string;
	readonly fake: {
		readonly address: string;
		/** Returns the loaded versions of an engine. */
		readonly models?: () => readonly string[];
		readonly checksFencing?: boolean;
		readonly active: () => number;
		readonly close: () => Promise<void>;
	};
};

export function readFakeFlags(): FakeFlags {
	const {values} = parseArgs({
		options: {
			port: {type: 'string', default: '0'},
			server: {type: 'string', default: 'fake-1'},
			zone: {type: 'string', default: 'prairie-south-a'},
			models: {type: 'string', default: ''},
			service: {type: 'string', default: 'labels'},
			announce: {type: 'string', default: ''},
			key: {type: 'string', default: 'backend-key'},
			capacity: {type: 'string', default: '8'},
			checksFencing: {type: 'string', default: 'true'},
		},
	});
	return {
		...values,
		port: Number(values.port),
		capacity: Number(values.capacity),
		checksFencing: values.checksFencing === 'true',
		models: splitList(values.models),
		announce: splitList(values.announce),
	};
}

export function runFake({flags, service, fake}: FakeProcessOptions): void {
	const announcer = startAnnouncer({
		daemons: flags.announce,
		key: flags.key,
		server: flags.server,
		zone: flags.zone,
		address: fake.address,
		models: fake.models ?? flags.models,
		checksFencing: fake.checksFencing ?? false,
		service,
		capacity: flags.capacity,
		active: fake.active,
	});
	process.stdout.write(`${flags.server} listens on ${fake.address}\n`);
	const stop = () => {
		void shutDown(announcer, fake.close);
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
}

async function shutDown(announcer: Announcer, close: () => Promise<void>): Promise<void> {
	await announcer.announceShutdown();
	await close();
	await announcer.stop();
}

function splitList(value: string): readonly string[] {
	return value.split(',').filter(part => part !== '');
}
