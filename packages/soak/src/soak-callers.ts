import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {type RandomSource} from '@valehitch/core';
import {sendForResponse} from '@valehitch/testing';
import {callerHost, requestPath} from './soak-configuration.js';
import {requestBody, type RequestKind, type SoakRecord} from './soak-record.js';

/** Options for the callers of a soak. */
export type SoakCallersOptions = {
	readonly record: SoakRecord;
	readonly random: RandomSource;
	readonly now: () => number;
	/** The addresses of the entry instances. */
	readonly entries: readonly string[];
	/** Returns the valid keys and the recently revoked ones. */
	readonly keys: () => readonly string[];
	/** The seed of the soak, which prefixes the ids of requests. */
	readonly seed: number;
};

/** One request to send. */
export type SendOptions = {
	readonly kind: RequestKind;
	readonly entry: string;
	readonly key: string;
};

const concurrentCallers = 12;
const deadlineMilliseconds = 3000;
/** Longer than the deadline that callers send, so that late responses are recorded too. */
const responseTimeoutMilliseconds = 6000;
const maximumPauseMilliseconds = 60;
const requestKinds: readonly RequestKind[] = ['safe', 'unsafe', 'unsafe', 'streaming'];
/** One request in this many is of a caller that leaves the body unread for a while. */
const slowCallerEvery = 11;
const readDelayMilliseconds = 1500;

/**
The callers of a soak. Each sends one request after another over keep-alive connections, whatever happens to the instances.

@example
```ts
const callers = new SoakCallers(options);
callers.start();
await callers.stop();
```
*/
export class SoakCallers {
	readonly #options: SoakCallersOptions;
	readonly #agent = new Agent({keepAlive: true});
	#running: ReadonlyArray<Promise<void>> = [];
	#sentCount = 0;
	#isStopped = false;

	constructor(options: SoakCallersOptions) {
		this.#options = options;
	}

	start(): void {
		this.#running = Array.from({length: concurrentCallers}, async () => this.#sendRequests());
	}

	/** Stops sending, and waits for the outstanding responses. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#running);
	}

	close(): void {
		this.#agent.destroy();
	}

	/**
	Sends one request and records its result.

	@param options The request.
	@returns The status; 0 if the connection ended without one.
	*/
	async send({kind, entry, key}: SendOptions): Promise<number> {
		const {record, now, seed} = this.#options;
		const number = ++this.#sentCount;
		const id = `${seed}-${number}`;
		const sentAt = now();
		const {status, text, isComplete} = await sendForResponse({
			method: kind === 'safe' ? 'GET' : 'POST',
			address: entry,
			path: requestPath(kind),
			body: requestBody(id),
			agent: this.#agent,
			timeout: responseTimeoutMilliseconds,
			readDelay: number % slowCallerEvery === 0 ? readDelayMilliseconds : 0,
			headers: {
				Host: callerHost,
				'Attempt-Id': id,
				'Deadline-Ms': String(deadlineMilliseconds),
				Authorization: `Bearer ${key}`,
				...(kind === 'streaming' && {Model: '*', 'Token-Usage': '100,20', 'Prompt-Prefix': '1:50,2:50'}),
			},
		});
		record.requests.push({
			id, kind, key, entry, sentAt, status, text, isComplete,
		});
		return status;
	}

	async #sendRequests(): Promise<void> {
		const {random, entries, keys} = this.#options;
		while (!this.#isStopped) {
			await this.send({kind: pickItem(requestKinds, random), entry: pickItem(entries, random), key: pickItem(keys(), random)});
			await sleep(random() * maximumPauseMilliseconds);
		}
	}
}

function pickItem<Item>(items: readonly Item[], random: RandomSource): Item {
	return items[Math.floor(random() * items.length)]!;
}
