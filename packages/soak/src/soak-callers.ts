import {Agent} from 'node:http';
import {setTimeout as elapsed} from 'node:timers/promises';
import {type RandomSource} from '@valehitch/core';
import {ask} from '@valehitch/testing';
import {callerHost, pathOf} from './soak-configuration.js';
import {type RequestKind, type SoakRecord} from './soak-record.js';

/** What the callers of a soak need. */
export type SoakCallersOptions = {
	readonly record: SoakRecord;
	readonly random: RandomSource;
	readonly now: () => number;
	/** The addresses of the entry instances. */
	readonly entries: readonly string[];
	/** The keys that are in use now, and those that were taken away. */
	readonly keys: () => readonly string[];
	/** Names the soak in the ids of requests. */
	readonly seed: number;
};

/** One request to send. */
export type SendOptions = {
	readonly kind: RequestKind;
	readonly entry: string;
	readonly key: string;
};

const callersAtOnce = 12;
const patienceMilliseconds = 3000;
/** Callers wait longer than they say, so that late answers are seen too. */
const timeoutMilliseconds = 6000;
const longestPauseMilliseconds = 60;
const kinds: readonly RequestKind[] = ['safe', 'unsafe', 'unsafe', 'streaming'];

/**
The callers of a soak: each sends one request after the other over kept connections, whatever happens to the instances.

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
	#sent = 0;
	#isStopped = false;

	constructor(options: SoakCallersOptions) {
		this.#options = options;
	}

	start(): void {
		this.#running = Array.from({length: callersAtOnce}, async () => this.#call());
	}

	/** Sends no more, and waits for the answers. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#running);
	}

	close(): void {
		this.#agent.destroy();
	}

	/**
	Sends one request and records what came of it.

	@param options The request.
	@returns The status.
	*/
	async send({kind, entry, key}: SendOptions): Promise<number> {
		const {record, now, seed} = this.#options;
		const id = `${seed}-${++this.#sent}`;
		const sentAt = now();
		const {status, text, isWhole} = await ask({
			method: kind === 'safe' ? 'GET' : 'POST',
			address: entry,
			path: pathOf(kind),
			agent: this.#agent,
			timeout: timeoutMilliseconds,
			headers: {
				Host: callerHost,
				'Attempt-Id': id,
				'Deadline-Ms': String(patienceMilliseconds),
				Authorization: `Bearer ${key}`,
				...(kind === 'streaming' && {Model: '*', 'Token-Usage': '100,20', 'Prompt-Prefix': '1:50,2:50'}),
			},
		});
		record.requests.push({
			id, kind, key, entry, sentAt, status, text, isWhole,
		});
		return status;
	}

	async #call(): Promise<void> {
		const {random, entries, keys} = this.#options;
		while (!this.#isStopped) {
			await this.send({kind: oneOf(kinds, random), entry: oneOf(entries, random), key: oneOf(keys(), random)});
			await elapsed(random() * longestPauseMilliseconds);
		}
	}
}

function oneOf<Item>(items: readonly Item[], random: RandomSource): Item {
	return items[Math.floor(random() * items.length)]!;
}
