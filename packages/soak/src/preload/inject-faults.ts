/**
Preloaded into each process of a soak: routes connections between instances through their proxies, and injects faults of clocks, disks and links to servers.

@module
*/
import {existsSync, readFileSync} from 'node:fs';
import {open} from 'node:fs/promises';
import {Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	controlPort, dataFolderVariable, faultFile, proxyPorts, addressVariable,
} from '../soak-environment.js';

type ConnectOptions = {
	port?: number | string;
	localAddress?: string;
};

type DiskState = 'full' | 'slow' | '';

/** The size of the step of the wall clock. */
const clockStepMilliseconds = 3_600_000;
const slowDiskMilliseconds = 300;
/** How often to check whether the clock fault is on. */
const clockPollMilliseconds = 100;

const {[addressVariable]: ownAddress = '127.0.0.1', [dataFolderVariable]: dataFolder = ''} = process.env;
const diskFile = faultFile(dataFolder, 'disk');
const clockFile = faultFile(dataFolder, 'clock');
const linksFile = faultFile(dataFolder, 'links');
/** The ports of instances; all others are those of backend servers. */
const instancePorts: ReadonlySet<number> = new Set([...Object.values(proxyPorts), controlPort]);

/** Binds a connection to the address of its instance, because proxies identify instances by source address, and replaces the port of a peer with that of its proxy. */
function routeThroughProxy(options: ConnectOptions): void {
	options.localAddress = ownAddress;
	if (Number(options.port) === proxyPorts.peers) {
		options.port = proxyPorts.proxied;
	}
}

function refuseConnection(socket: Socket): void {
	Object.assign(socket, {connecting: true});
	setImmediate(() => {
		socket.destroy(Object.assign(new Error('connect ECONNREFUSED'), {code: 'ECONNREFUSED'}));
	});
}

function redirectConnections(): void {
	const {connect} = Socket.prototype;
	Socket.prototype.connect = function (this: Socket, ...parameters: unknown[]) {
		// Node's internal callers pass the parameters as a single array.
		const [first] = parameters;
		const options: unknown = Array.isArray(first) ? first[0] : first;
		if (typeof options === 'object' && options !== null && 'port' in options) {
			routeThroughProxy(options as ConnectOptions);
			if (!instancePorts.has(Number(options.port)) && existsSync(linksFile)) {
				refuseConnection(this);
				return this;
			}
		}

		return Reflect.apply(connect, this, parameters) as Socket;
	};
}

function installClockStep(): void {
	let offset = 0;
	let checkedAt = Number.NEGATIVE_INFINITY;
	const withOffset = (original: number): number => {
		if (performance.now() - checkedAt >= clockPollMilliseconds) {
			checkedAt = performance.now();
			offset = existsSync(clockFile) ? clockStepMilliseconds : 0;
		}

		return original + offset;
	};

	globalThis.Date = new Proxy(Date, {
		construct: (target, parameters: unknown[], newTarget) => Reflect.construct(target, parameters.length === 0 ? [withOffset(target.now())] : parameters, newTarget) as Date,
		get: (target, name): unknown => name === 'now' ? () => withOffset(target.now()) : Reflect.get(target, name),
	});
}

function diskState(): DiskState {
	return existsSync(diskFile) ? readFileSync(diskFile, 'utf8') as DiskState : '';
}

async function applyDiskFault(): Promise<void> {
	const state = diskState();
	if (state === 'full') {
		throw new Error('ENOSPC: no space left on device');
	}

	if (state === 'slow') {
		await sleep(slowDiskMilliseconds);
	}
}

async function installDiskFaults(): Promise<void> {
	const handle = await open('/dev/null');
	const prototype = Object.getPrototypeOf(handle) as typeof handle;
	await handle.close();
	for (const name of ['appendFile', 'datasync', 'sync'] as const) {
		const original = prototype[name] as (...parameters: unknown[]) => Promise<void>;
		Object.defineProperty(prototype, name, {
			async value(this: unknown, ...parameters: unknown[]) {
				await applyDiskFault();
				await Reflect.apply(original, this, parameters);
			},
		});
	}
}

redirectConnections();
installClockStep();
await installDiskFaults();
