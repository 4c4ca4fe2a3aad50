import {once} from 'node:events';
import {
	connect, createServer, type Socket, type AddressInfo,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type ExecutionContext} from 'ava';
import {ignore, listen} from './_test-run.js';

/** When a server falls silent: once it has read or sent the given text, for the first time. */
export type SilenceStart = {
	readonly direction: 'request' | 'answer';
	/** The text; without any, the first bytes are held already. */
	readonly after: string;
};

/** Options of {@linkcode startSilentServer}. */
export type SilentServerOptions = {
	readonly handle: Parameters<typeof listen>[1];
	readonly start: SilenceStart;
	/** How long it is silent, in milliseconds. */
	readonly duration: number;
	/** Whether it may fall silent now; by default it may. */
	readonly maySilence?: () => boolean;
};

/** A server that falls silent once and goes on: meanwhile it accepts connections, but neither reads nor sends anything. */
export type SilentServer = {
	readonly port: number;
	/** Resolves when it has gone on; at once if it has not fallen silent. */
	readonly goesOn: () => Promise<void>;
	/** Whether it has fallen silent. */
	readonly wasSilent: () => boolean;
};

/** Starts a server that falls silent once. */
export async function startSilentServer(t: ExecutionContext, {handle, start, duration, maySilence = () => true}: SilentServerOptions): Promise<SilentServer> {
	const decoder = new TextDecoder('latin1');
	const inner = await listen(t, handle);
	const sockets = new Set<Socket>();
	let silence: Promise<void> | undefined;

	/** Passes on what one side sends, in order; what arrives during the silence waits for its end. */
	const pass = (from: Socket, to: Socket, direction: SilenceStart['direction']): void => {
		let passed = '';
		let turn = Promise.resolve();
		const enqueue = (action: () => void): void => {
			const wait = silence;
			turn = turn.then(async () => wait).then(action);
		};

		from.on('data', (chunk: Uint8Array) => {
			const earlier = passed.length;
			passed += decoder.decode(chunk);
			const index = silence === undefined && direction === start.direction ? passed.indexOf(start.after) : -1;
			const isStart = index !== -1 && maySilence();
			const length = isStart ? Math.max(0, index + start.after.length - earlier) : 0;
			if (isStart) {
				enqueue(() => {
					to.write(chunk.subarray(0, length));
				});
				silence = delay(duration);
			}

			enqueue(() => {
				to.write(chunk.subarray(length));
			});
		});
		from.on('end', () => {
			enqueue(() => {
				to.end();
			});
		});
		from.on('error', ignore);
		from.on('close', () => {
			sockets.delete(from);
			if (!from.readableEnded) {
				enqueue(() => {
					to.destroy();
				});
			}
		});
	};

	const server = createServer({allowHalfOpen: true}, outer => {
		const connection = connect({port: inner, host: '127.0.0.1', allowHalfOpen: true});
		sockets.add(outer).add(connection);
		pass(outer, connection, 'request');
		pass(connection, outer, 'answer');
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {
		port: (server.address() as AddressInfo).port,
		async goesOn() {
			await silence;
		},
		wasSilent: () => silence !== undefined,
	};
}
