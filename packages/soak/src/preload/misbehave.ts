/**
Loaded into each process of a soak before its program: sends connections between instances through their proxies, and lets the clock and the disk misbehave.

@module
*/
import {existsSync, readFileSync} from 'node:fs';
import {open} from 'node:fs/promises';
import {Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as elapsed} from 'node:timers/promises';
import {
	folderVariable, misbehaviourFile, proxyPorts, selfVariable,
} from '../soak-environment.js';

type ConnectOptions = {
	port?: number | string;
	localAddress?: string;
};

type DiskState = 'full' | 'slow' | '';

/** How far the time of day jumps, in milliseconds. */
const clockStepMilliseconds = 3_600_000;
const slowDiskMilliseconds = 300;
/** The time between two looks whether the clock misbehaves. */
const lookMilliseconds = 100;

const {[selfVariable]: self = '127.0.0.1', [folderVariable]: folder = ''} = process.env;
const diskFile = misbehaviourFile(folder, 'disk');
const clockFile = misbehaviourFile(folder, 'clock');

/** Proxies tell the instances apart by their addresses, so each connection leaves from its own. */
function redirect(options: ConnectOptions): void {
	options.localAddress = self;
	if (Number(options.port) === proxyPorts.peers) {
		options.port = proxyPorts.proxied;
	}
}

function redirectConnections(): void {
	const {connect} = Socket.prototype;
	Socket.prototype.connect = function (this: Socket, ...parameters: unknown[]) {
		// The system's own callers pass the parameters as one list.
		const [first] = parameters;
		const options: unknown = Array.isArray(first) ? first[0] : first;
		if (typeof options === 'object' && options !== null && 'port' in options) {
			redirect(options as ConnectOptions);
		}

		return Reflect.apply(connect, this, parameters) as Socket;
	};
}

function stepClock(): void {
	let offset = 0;
	let lookedAt = Number.NEGATIVE_INFINITY;
	const stepped = (plain: number): number => {
		if (performance.now() - lookedAt >= lookMilliseconds) {
			lookedAt = performance.now();
			offset = existsSync(clockFile) ? clockStepMilliseconds : 0;
		}

		return plain + offset;
	};

	globalThis.Date = new Proxy(Date, {
		construct: (target, parameters: unknown[], asked) => Reflect.construct(target, parameters.length === 0 ? [stepped(target.now())] : parameters, asked) as Date,
		get: (target, name): unknown => name === 'now' ? () => stepped(target.now()) : Reflect.get(target, name),
	});
}

function diskState(): DiskState {
	return existsSync(diskFile) ? readFileSync(diskFile, 'utf8') as DiskState : '';
}

async function misbehave(): Promise<void> {
	const state = diskState();
	if (state === 'full') {
		throw new Error('ENOSPC: no space left on device');
	}

	if (state === 'slow') {
		await elapsed(slowDiskMilliseconds);
	}
}

async function spoilDisk(): Promise<void> {
	const handle = await open('/dev/null');
	const prototype = Object.getPrototypeOf(handle) as typeof handle;
	await handle.close();
	for (const name of ['appendFile', 'datasync', 'sync'] as const) {
		const plain = prototype[name] as (...parameters: unknown[]) => Promise<void>;
		Object.defineProperty(prototype, name, {
			async value(this: unknown, ...parameters: unknown[]) {
				await misbehave();
				await Reflect.apply(plain, this, parameters);
			},
		});
	}
}

redirectConnections();
stepClock();
await spoilDisk();
