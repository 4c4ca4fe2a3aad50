import {setTimeout as elapsed} from 'node:timers/promises';
import {ask, call} from '@valehitch/testing';
import {soakConfiguration} from './soak-configuration.js';
import {type SoakRecord} from './soak-record.js';

/** What the operator of a soak needs. */
export type SoakOperatorOptions = {
	readonly record: SoakRecord;
	readonly now: () => number;
	/** The addresses of the control instances. */
	readonly controls: readonly string[];
};

const callTimeoutMilliseconds = 1500;
const roundPauseMilliseconds = 100;
const acknowledged = 200;
/** Old keys go on being tried by callers, as many as these. */
const rememberedKeys = 3;

/**
The operator of a soak: sends configurations until they are acknowledged, takes keys away, and reads back.

@example
```ts
const operator = new SoakOperator(options);
await operator.change();
```
*/
export class SoakOperator {
	readonly #options: SoakOperatorOptions;
	#version = 0;
	#keyCount = 1;
	#keys: readonly string[] = ['key-1'];
	#oldKeys: readonly string[] = [];
	#isStopped = false;
	#waiting = 0;
	#last: Promise<void> = Promise.resolve();

	constructor(options: SoakOperatorOptions) {
		this.#options = options;
	}

	/** The keys that callers use: those in force, and those that were taken away of late. */
	get keys(): readonly string[] {
		return [...this.#keys, ...this.#oldKeys];
	}

	/** The keys in force. */
	get validKeys(): readonly string[] {
		return this.#keys;
	}

	/** Whether all that was sent is acknowledged. */
	get isIdle(): boolean {
		return this.#waiting === 0;
	}

	/** Sends the next configuration; one that is still on its way goes first. */
	async change(): Promise<void> {
		return this.#inTurn(async () => this.#send(this.#keys));
	}

	/** Sends a configuration with a new key in place of the oldest. */
	async revoke(): Promise<void> {
		return this.#inTurn(async () => {
			const [taken, ...kept] = [...this.#keys, `key-${++this.#keyCount}`];
			this.#keys = kept;
			if (taken !== undefined && await this.#send(kept)) {
				this.#options.record.revocations.push({key: taken, acknowledgedAt: this.#options.now()});
				this.#oldKeys = [taken, ...this.#oldKeys].slice(0, rememberedKeys);
			}
		});
	}

	/**
	Reads the configuration of one control instance.

	@param control The instance.
	@returns The version; undefined where it told none.
	*/
	async read(control: string): Promise<number | undefined> {
		const {record, now} = this.#options;
		const askedAt = now();
		const {status, text, isWhole} = await ask({
			method: 'GET', address: control, path: '/-/config', headers: {}, timeout: callTimeoutMilliseconds,
		});
		if (status !== acknowledged || !isWhole) {
			return undefined;
		}

		const {version} = JSON.parse(text) as {readonly version: number};
		record.reads.push({version, askedAt, control});
		return version;
	}

	/** Gives up what was not acknowledged yet. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await this.#last;
	}

	async #inTurn(task: () => Promise<unknown>): Promise<void> {
		const before = this.#last;
		const run = async (): Promise<void> => {
			this.#waiting++;
			await before;
			await task();
			this.#waiting--;
		};

		this.#last = run();
		return this.#last;
	}

	/** Sends the same document to one control instance after the other until one acknowledges. */
	async #send(keys: readonly string[]): Promise<boolean> {
		const {record, controls, now} = this.#options;
		const version = ++this.#version;
		while (!this.#isStopped) {
			for (const address of controls) {
				const status = await call({
					method: 'PUT', address, path: '/-/config', body: soakConfiguration(version, keys), timeout: callTimeoutMilliseconds,
				});
				if (status === acknowledged) {
					record.configurations.push({version, acknowledgedAt: now()});
					return true;
				}
			}

			await elapsed(roundPauseMilliseconds);
		}

		return false;
	}
}
