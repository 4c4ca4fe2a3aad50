import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** A request as its caller writes it. */
export type RawCallerRequest = {
	readonly id: string;
	readonly method: string;
	readonly target: string;
	readonly version?: '1.0' | '1.1';
	readonly headers?: Readonly<Record<string, string>>;
	/** The body; none by default. */
	readonly body?: string;
	/** Whether the body is sent in chunks with a trailer; by default its length is stated. */
	readonly isChunked?: boolean;
	/** The time before the second half of the body, in milliseconds; 0 by default. */
	readonly bodyDelay?: number;
};

/** What came in answer to a request. */
export type RawCallerAnswer = {
	/** The status; 0 without a whole head. */
	readonly status: number;
	readonly text: string;
	readonly isWhole: boolean;
	/** Whether its head says that the connection is closed after it. */
	readonly isLast: boolean;
};

const headEnd = '\r\n\r\n';
const missing: RawCallerAnswer = {
	status: 0, text: '', isWhole: false, isLast: false,
};

/**
A caller that writes the bytes of its requests to one connection, and judges the answers by their bytes.
*/
export class RawCaller {
	/** When the connection was ended or closed by the other side, in milliseconds on the monotonic clock; undefined while it is open. */
	endedAt: number | undefined;
	readonly #socket: Socket;
	readonly #methods: string[] = [];
	#bytes = '';
	#isEnded = false;
	#isClosed = false;

	/**
	@param port The port on the loopback interface.
	*/
	constructor(port: number) {
		this.#socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
		this.#socket.setEncoding('latin1');
		this.#socket.setNoDelay(true);
		this.#socket.on('data', chunk => {
			this.#bytes += String(chunk);
		});
		this.#socket.on('end', () => {
			this.endedAt ??= performance.now();
			this.#isEnded = true;
		});
		this.#socket.on('error', () => {
			// The connection is closed after it, and was not ended.
		});
		this.#socket.on('close', () => {
			this.endedAt ??= performance.now();
			this.#isClosed = true;
		});
	}

	/** Waits until the connection is open. */
	async connected(): Promise<void> {
		await once(this.#socket, 'connect');
	}

	/**
	Writes requests, one directly after the other.

	@param requests The requests.
	*/
	async send(requests: readonly RawCallerRequest[]): Promise<void> {
		for (const {id, method, target, version = '1.1', headers = {}, body, isChunked = false, bodyDelay = 0} of requests) {
			this.#methods.push(method);
			const framing = isChunked ? {'Transfer-Encoding': 'chunked', Trailer: 'Checksum'} : {'Content-Length': String(body?.length)};
			const fields = {
				Host: 'desk.example', 'Attempt-Id': id, ...(body !== undefined && framing), ...headers,
			};
			const head = [`${method} ${target} HTTP/${version}`, ...Object.entries(fields).map(([name, value]) => `${name}: ${value}`)].join('\r\n');
			const bytes = body === undefined ? '' : encodeBody(body, isChunked);
			const half = bodyDelay > 0 ? Math.floor(bytes.length / 2) : bytes.length;
			this.#socket.write(`${head}${headEnd}${bytes.slice(0, half)}`);
			if (half < bytes.length) {
				await delay(bodyDelay);
				this.#socket.write(bytes.slice(half));
			}
		}
	}

	/**
	Waits until all requests are answered, or the connection has ended.

	@param within How long to wait, in milliseconds.
	@returns The answers in the order of the requests.
	*/
	async answers(within: number): Promise<readonly RawCallerAnswer[]> {
		const until = performance.now() + within;
		for (;;) {
			const isOver = this.#isEnded || this.#isClosed || performance.now() >= until;
			const answers = parseAnswers(this.#bytes, {methods: this.#methods, isEnded: this.#isEnded});
			if (isOver || answers.every(({isWhole}) => isWhole)) {
				return answers;
			}

			await delay(5);
		}
	}

	/** Whether the connection is open in both directions. */
	get isOpen(): boolean {
		return !this.#isEnded && !this.#isClosed;
	}

	/** Ends the caller's side of the connection. */
	end(): void {
		this.#socket.end();
	}

	/** Closes the connection. */
	close(): void {
		this.#socket.destroy();
	}
}

function encodeBody(body: string, isChunked: boolean): string {
	return isChunked ? `${body.length.toString(16)}\r\n${body}\r\n0\r\nChecksum: 7${headEnd}` : body;
}

type ParseOptions = {
	/** The methods of the requests. */
	readonly methods: readonly string[];
	/** Whether the other side has ended the connection. */
	readonly isEnded: boolean;
};

function parseAnswers(bytes: string, {methods, isEnded}: ParseOptions): readonly RawCallerAnswer[] {
	let rest = bytes;
	return methods.map(method => {
		const {answer, length} = parseAnswer(rest, {method, isEnded});
		rest = rest.slice(length);
		return answer;
	});
}

type ParsedAnswer = {
	readonly answer: RawCallerAnswer;
	/** The number of its bytes. */
	readonly length: number;
};

function parseAnswer(bytes: string, {method, isEnded}: {readonly method: string; readonly isEnded: boolean}): ParsedAnswer {
	const bodyStart = bytes.indexOf(headEnd) + headEnd.length;
	if (bodyStart < headEnd.length) {
		return {answer: missing, length: bytes.length};
	}

	const head = bytes.slice(0, bodyStart);
	const status = Number(head.split(' ')[1]);
	if (status === 100) {
		const {answer, length} = parseAnswer(bytes.slice(bodyStart), {method, isEnded});
		return {answer, length: bodyStart + length};
	}

	const isLast = /^connection: close\r$/imv.test(head);
	const body = bytes.slice(bodyStart);
	const length = /^content-length: (?<length>\d+)\r$/imv.exec(head)?.groups?.length;
	if (method === 'HEAD' || status === 204 || status === 304) {
		return {
			answer: {
				status, text: '', isWhole: true, isLast,
			}, length: bodyStart,
		};
	}

	if (length !== undefined) {
		const text = body.slice(0, Number(length));
		return {
			answer: {
				status, text, isWhole: text.length === Number(length), isLast,
			}, length: bodyStart + text.length,
		};
	}

	if (/^transfer-encoding: chunked\r$/imv.test(head)) {
		const decoded = decodeChunks(body);
		return {answer: {status, isLast, ...decoded}, length: bodyStart + decoded.length};
	}

	return {
		answer: {
			status, text: body, isWhole: isEnded, isLast,
		}, length: bytes.length,
	};
}

function decodeChunks(body: string): Pick<RawCallerAnswer, 'text' | 'isWhole'> & {readonly length: number} {
	let text = '';
	let position = 0;
	for (;;) {
		const lineEnd = body.indexOf('\r\n', position);
		const size = lineEnd === -1 ? Number.NaN : Number.parseInt(body.slice(position, lineEnd), 16);
		const start = lineEnd + 2;
		const end = start + size + 2;
		if (!(end <= body.length)) {
			return {text, isWhole: false, length: body.length};
		}

		if (size === 0) {
			return {text, isWhole: true, length: end};
		}

		text += body.slice(start, start + size);
		position = end;
	}
}
