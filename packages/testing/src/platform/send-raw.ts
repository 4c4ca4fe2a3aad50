import {connect} from 'node:net';

/** A request without a body, as it is written to a socket. */
export type RawRequest = {
	readonly method: string;
	/** The host and port, as `HOST:PORT`. */
	readonly address: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
};

/** What a caller got on its socket until the answer was whole or the connection ended. */
export type RawReceived = {
	/** The status; 0 without a whole head. */
	readonly status: number;
	/** The body, without its framing. */
	readonly text: string;
	/** Whether the answer looks whole to the caller. */
	readonly isWhole: boolean;
};

const headEnd = '\r\n\r\n';
const lastChunk = '0\r\n\r\n';

/**
Sends a request on a socket of its own, and judges the answer by its bytes and by how the connection ends.

@param request The request.
@returns What came.
@example
```ts
await sendRaw({method: 'GET', address: '127.0.0.1:8227', path: '/look/7', headers: {Host: 'desk.example'}});
```
*/
export async function sendRaw({method, address, path, headers}: RawRequest): Promise<RawReceived> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		let bytes = '';
		let isEnded = false;
		const socket = connect(Number(port), host);
		socket.setEncoding('latin1');
		socket.on('data', chunk => {
			bytes += String(chunk);
			if (parse(bytes, false).isWhole) {
				socket.destroy();
			}
		});
		socket.on('end', () => {
			isEnded = true;
		});
		socket.on('error', () => {
			// The connection is closed after it, and was not ended.
		});
		socket.on('close', () => {
			resolve(parse(bytes, isEnded));
		});
		const lines = [`${method} ${path} HTTP/1.1`, ...Object.entries({'Content-Length': '0', ...headers}).map(([name, value]) => `${name}: ${value}`)];
		socket.write(`${lines.join('\r\n')}${headEnd}`);
	});
}

function parse(bytes: string, isEnded: boolean): RawReceived {
	const bodyStart = bytes.indexOf(headEnd) + headEnd.length;
	if (bodyStart < headEnd.length) {
		return {status: 0, text: '', isWhole: false};
	}

	const head = bytes.slice(0, bodyStart);
	const body = bytes.slice(bodyStart);
	const status = Number(head.split(' ')[1]);
	const length = /^content-length: (\d+)\r$/imv.exec(head)?.[1];
	if (length !== undefined) {
		return {status, text: body, isWhole: body.length === Number(length)};
	}

	if (/^transfer-encoding: chunked\r$/imv.test(head)) {
		return {status, ...decodeChunks(body)};
	}

	return {status, text: body, isWhole: isEnded};
}

function decodeChunks(body: string): Pick<RawReceived, 'text' | 'isWhole'> {
	let text = '';
	let rest = body;
	while (rest !== '' && rest !== lastChunk) {
		const [size = ''] = rest.split('\r\n');
		const start = size.length + 2;
		const end = start + Number.parseInt(size, 16);
		if (!(end + 2 <= rest.length)) {
			return {text: text + rest.slice(start, end), isWhole: false};
		}

		text += rest.slice(start, end);
		rest = rest.slice(end + 2);
	}

	return {text, isWhole: rest === lastChunk};
}
