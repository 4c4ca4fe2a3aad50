import {Buffer} from 'node:buffer';
import {type IncomingMessage, type Server} from 'node:http';
import {type Socket} from 'node:net';
import {type UnfinishedResponses} from './unfinished-responses.js';

/**
Lets a server handle requests that ask for another protocol like any others. It otherwise throws away what arrives together with the end of such a request, so that the requests behind it are never answered.

@param server The server, which has not accepted connections yet. It emits `connection` again for the connection of such a request.
@param unfinished The responses of the server that are in progress, each added when its request arrives.
@example
```ts
ignoreUpgrades(server, unfinished);
```
*/
export function ignoreUpgrades(server: Server, unfinished: Pick<UnfinishedResponses, 'whenAnswered'>): void {
	// The server otherwise leaves out headers from the thousandth on, perhaps the one that tells where the request ends.
	server.maxHeadersCount = 0;
	server.on('upgrade', (message: IncomingMessage, socket: Socket, rest: Uint8Array) => {
		// The server no longer handles the connection.
		const ignoreError = (): void => {
			// The connection is closed after it.
		};

		const chunks = [rest];
		let held = 0;
		// The end of the connection is seen only behind what came before it.
		const hold = (chunk: Uint8Array): void => {
			chunks.push(chunk);
			held += chunk.byteLength;
			if (held >= socket.readableHighWaterMark) {
				socket.pause();
			}
		};

		socket.on('error', ignoreError);
		socket.on('data', hold);
		void unfinished.whenAnswered(socket).then(() => {
			socket.off('error', ignoreError);
			socket.off('data', hold);
			if (!socket.writable || socket.readableEnded) {
				socket.destroy();
				return;
			}

			socket.setTimeout(0);
			socket.unshift(Buffer.concat([Buffer.from(headWithoutUpgrade(message), 'latin1'), ...chunks]));
			server.emit('connection', socket);
			socket.resume();
		});
	});
}

/** Returns the head of a request without its wish for another protocol. */
function headWithoutUpgrade({method, url, httpVersion, rawHeaders}: IncomingMessage): string {
	const lines = [`${method} ${url} HTTP/${httpVersion}`];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!;
		const value = rawHeaders[index + 1]!;
		const isConnection = name.toLowerCase() === 'connection';
		const kept = isConnection ? value.split(',').filter(option => option.trim().toLowerCase() !== 'upgrade').join(',') : value;
		if (name.toLowerCase() !== 'upgrade' && (kept !== '' || !isConnection)) {
			lines.push(`${name}: ${kept}`);
		}
	}

	return `${lines.join('\r\n')}\r\n\r\n`;
}
