/**
Preloaded into an instance with `--import`: while a file exists, the instance has no links to the backend servers that the file names. Those to callers and to other instances go on.

@module
*/
import {existsSync, readFileSync} from 'node:fs';
import {Socket} from 'node:net';
import process from 'node:process';
import {type ServerCut, type WrittenServerCut} from './server-cut.js';

const {SERVER_CUT_FILE: file = '', SERVER_CUT_OWN_PORTS: ownPortList = '[]'} = process.env;
const ownPorts = new Set(JSON.parse(ownPortList) as readonly number[]);
/** How often to check whether the cut has begun, for open connections. */
const pollMilliseconds = 20;
/** The open connections to servers, and their ports. */
const openSockets = new Map<Socket, number>();
let current: WrittenServerCut | undefined;

function readCut(): WrittenServerCut | undefined {
	return existsSync(file) ? JSON.parse(readFileSync(file, 'utf8')) as WrittenServerCut : undefined;
}

function cutOf(port: number): ServerCut | undefined {
	const written = readCut();
	return written?.ports?.includes(port) === false ? undefined : written?.cut;
}

function portOf(parameters: readonly unknown[]): number | undefined {
	// Node's internal callers pass the parameters as a single array.
	const [first] = parameters;
	const options: unknown = Array.isArray(first) ? first[0] : first;
	return typeof options === 'object' && options !== null && 'port' in options ? Number(options.port) : undefined;
}

function dropBytes(): void {
	// A write into the cut never completes.
}

function breakOpenSockets(): void {
	for (const [socket, port] of openSockets) {
		const cut = cutOf(port);
		if (cut === 'refused') {
			socket.destroy(new Error('read ECONNRESET'));
		} else if (cut === 'silent') {
			// The socket stays open, but no bytes pass in either direction.
			Object.assign(socket, {
				push: () => true,
				_write: dropBytes,
				_writev: dropBytes,
			});
		}
	}
}

const {connect} = Socket.prototype;
Socket.prototype.connect = function (this: Socket, ...parameters: unknown[]) {
	const port = portOf(parameters);
	if (port === undefined || ownPorts.has(port)) {
		return Reflect.apply(connect, this, parameters) as Socket;
	}

	const cut = cutOf(port);
	if (cut === undefined) {
		openSockets.set(this, port);
		this.once('close', () => {
			openSockets.delete(this);
		});
		return Reflect.apply(connect, this, parameters) as Socket;
	}

	Object.assign(this, {connecting: true});
	if (cut !== 'silent') {
		setImmediate(() => {
			this.destroy(Object.assign(new Error('connect ECONNREFUSED'), {code: 'ECONNREFUSED'}));
		});
	}

	return this;
};

setInterval(() => {
	const cut = readCut();
	if (cut !== undefined && current === undefined) {
		breakOpenSockets();
	}

	current = cut;
}, pollMilliseconds).unref();
