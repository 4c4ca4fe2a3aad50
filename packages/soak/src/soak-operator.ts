import {setTimeout as sleep} from 'node:timers/promises';
import {sendForResponse, sendForStatus} from '@valehitch/testing';
import {soakConfiguration} from './soak-configuration.js';
import {type ObservedEvacuation, type SoakRecord, type UncertainKey} from './soak-record.js';

/** Options for the operator of a soak. */
export type SoakOperatorOptions = {
	readonly record: SoakRecord;
	readonly now: () => number;
	/** The addresses of the control instances. */
	readonly controls: readonly string[];
};

const callTimeoutMilliseconds = 1500;
const retryDelayMilliseconds = 100;
const acknowledgedStatus = 200;
/** The number of recently revoked keys that callers keep trying. */
const retainedRevokedKeys = 3;

/**
The operator of a soak: submits configurations until they are acknowledged, revokes keys, and reads the configuration back.

@example
```ts
const operator = new SoakOperator(options);
await operator.submitConfiguration();
```
*/
export class SoakOperator {
	readonly #options: SoakOperatorOptions;
	#version = 0;
	#keyCount = 1;
	#keys: readonly string[] = ['key-1'];
	#revokedKeys: readonly string[] = [];
	#isStopped = false;
	#pendingTasks = 0;
	#lastTask: Promise<void> = Promise.resolve();

	constructor(options: SoakOperatorOptions) {
		this.#options = options;
	}

	/** The keys that callers use: the valid ones and the recently revoked ones. */
	get keys(): readonly string[] {
		return [...this.#keys, ...this.#revokedKeys];
	}

	/** The valid keys. */
	get validKeys(): readonly string[] {
		return this.#keys;
	}

	/** Whether all submitted configurations are acknowledged. */
	get isIdle(): boolean {
		return this.#pendingTasks === 0;
	}

	/** Submits the next configuration once all earlier ones are acknowledged. */
	async submitConfiguration(): Promise<void> {
		return this.#enqueue(async () => this.#submit(this.#keys));
	}

	/** Submits a configuration with a new key in place of the oldest, which it revokes. */
	async revokeOldestKey(): Promise<void> {
		return this.#enqueue(async () => {
			const {record, now} = this.#options;
			const [revokedKey, addedKey] = [this.#keys[0]!, `key-${++this.#keyCount}`];
			this.#keys = [...this.#keys.slice(1), addedKey];
			const added: UncertainKey = {key: addedKey, from: now(), to: undefined};
			record.uncertainKeys.push(added, {key: revokedKey, from: now(), to: undefined});
			if (await this.#submit(this.#keys)) {
				added.to = now();
				record.revocations.push({key: revokedKey, acknowledgedAt: now()});
				this.#revokedKeys = [revokedKey, ...this.#revokedKeys].slice(0, retainedRevokedKeys);
			}
		});
	}

	/**
	Evacuates an availability zone for a time, beside the configurations.

	@param zone The zone.
	@param duration How long the zone stays evacuated after the acknowledgement, in milliseconds.
	*/
	async evacuate(zone: string, duration: number): Promise<void> {
		const {record, now} = this.#options;
		if (!await this.#order('POST', zone)) {
			record.unrecovered.push('an operator whose evacuation was not acknowledged');
			return;
		}

		const evacuation: ObservedEvacuation = {zone, acknowledgedAt: now(), endOrderedAt: undefined};
		record.evacuations.push(evacuation);
		await sleep(duration);
		evacuation.endOrderedAt = now();
		if (!await this.#order('DELETE', zone)) {
			record.unrecovered.push('an operator whose end of an evacuation was not acknowledged');
		}
	}

	/**
	Reads the configuration from one control instance, and records its version.

	@param control The address of the instance.
	@returns The version; undefined if the instance returned none.
	*/
	async readConfiguration(control: string): Promise<number | undefined> {
		const {record, now} = this.#options;
		const askedAt = now();
		const {status, text, isComplete} = await sendForResponse({
			method: 'GET', address: control, path: '/-/config', headers: {}, timeout: callTimeoutMilliseconds,
		});
		if (status !== acknowledgedStatus || !isComplete) {
			return undefined;
		}

		const {version} = JSON.parse(text) as {readonly version: number};
		record.reads.push({version, askedAt, control});
		return version;
	}

	/** Stops resubmitting unacknowledged configurations. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await this.#lastTask;
	}

	async #enqueue(task: () => Promise<unknown>): Promise<void> {
		const previous = this.#lastTask;
		const run = async (): Promise<void> => {
			this.#pendingTasks++;
			await previous;
			await task();
			this.#pendingTasks--;
		};

		this.#lastTask = run();
		return this.#lastTask;
	}

	/** Sends the same configuration to one control instance after another until one acknowledges it. */
	async #submit(keys: readonly string[]): Promise<boolean> {
		const {record, controls, now} = this.#options;
		const version = ++this.#version;
		while (!this.#isStopped) {
			for (const address of controls) {
				const status = await sendForStatus({
					method: 'PUT', address, path: '/-/config', body: soakConfiguration(version, keys), timeout: callTimeoutMilliseconds,
				});
				if (status === acknowledgedStatus) {
					record.configurations.push({version, acknowledgedAt: now()});
					return true;
				}
			}

			await sleep(retryDelayMilliseconds);
		}

		return false;
	}

	/** Sends an order about a zone to one control instance after another until one acknowledges it. */
	async #order(method: 'POST' | 'DELETE', zone: string): Promise<boolean> {
		while (!this.#isStopped) {
			for (const address of this.#options.controls) {
				const status = await sendForStatus({
					method, address, path: `/-/evacuations/${zone}`, body: undefined, timeout: callTimeoutMilliseconds,
				});
				if (status === acknowledgedStatus) {
					return true;
				}
			}

			await sleep(retryDelayMilliseconds);
		}

		return false;
	}
}
