import {type Clock, type InstanceId} from '@valehitch/core';
import {type PeerAddress, type PeerNetwork} from '@valehitch/transport';
import {type PeerMessage} from '../messages.js';
import {decodeReply, type ReplyTuple, encodeExchange} from './exchange-codec.js';
import {type ExchangeReply} from './messages.js';
import {type RelayNode} from './relay-node.js';

/** Options of an {@linkcode ExchangeLoop}. */
export type ExchangeLoopOptions = {
	readonly clock: Clock;
	readonly network: Pick<PeerNetwork<PeerMessage>, 'request'>;
	readonly node: Pick<RelayNode, 'begin' | 'finish' | 'isSettled'>;
	/** The interval between exchanges without updates, in milliseconds. */
	readonly periodMilliseconds: number;
	/** Returns the possible parents, best first. */
	readonly candidates: () => readonly PeerAddress[];
	/** Returns whether this instance's lease is valid; without one, other candidates are tried from time to time. */
	readonly isLeaseValid: () => boolean;
	/** Called with each reply. */
	readonly onReply: (parent: InstanceId, reply: ExchangeReply) => void;
	/** Called with each instance that did not reply. */
	readonly onNoReply: (parent: InstanceId) => void;
	/** Called with the error of each reply that could not be processed. */
	readonly onError: (error: unknown) => void;
};

/** The minimum interval between exchanges, regardless of the number of updates. */
const minimumIntervalMilliseconds = 50;
const timeoutPeriods = 2;
const avoidancePeriods = 8;
const exchangesPerAlternative = 4;

/**
Runs exchanges with a parent: periodically, and sooner after an update.

@example
```ts
const loop = new ExchangeLoop(options);
loop.start();
```
*/
export class ExchangeLoop {
	readonly #options: ExchangeLoopOptions;
	/** Until when each instance that did not reply is avoided, in milliseconds of the monotonic clock. */
	readonly #avoidedUntil = new Map<InstanceId, number>();
	#timer: NodeJS.Timeout | undefined;
	#isBusy = false;
	#isWakePending = false;
	#isStopped = false;
	#exchangeCount = 0;

	constructor(options: ExchangeLoopOptions) {
		this.#options = options;
	}

	/** Starts the exchanges. */
	start(): void {
		this.#schedule(0);
	}

	/** Stops the exchanges. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	/** Starts the next exchange soon, because there is an update. */
	wake(): void {
		if (this.#isBusy) {
			this.#isWakePending = true;
			return;
		}

		if (!this.#isWakePending) {
			this.#isWakePending = true;
			this.#schedule(minimumIntervalMilliseconds);
		}
	}

	/**
	Marks instances as alive, so that they are no longer avoided.

	@param instances The instances.
	*/
	markAlive(instances: readonly InstanceId[]): void {
		for (const instance of instances) {
			this.#avoidedUntil.delete(instance);
		}
	}

	#schedule(milliseconds: number): void {
		clearTimeout(this.#timer);
		if (!this.#isStopped) {
			this.#timer = setTimeout(() => {
				void this.#runExchange();
			}, milliseconds);
		}
	}

	async #runExchange(): Promise<void> {
		this.#isWakePending = false;
		this.#isBusy = true;
		const parent = this.#chooseParent();
		const isParentUpToDate = parent === undefined || await this.#tryExchange(parent);
		this.#isBusy = false;
		this.#schedule(this.#isWakePending || !isParentUpToDate ? minimumIntervalMilliseconds : this.#options.periodMilliseconds);
	}

	/** Runs one exchange; returns whether the parent is up to date. */
	async #exchangeWith(parent: PeerAddress): Promise<boolean> {
		const {clock, network, node, periodMilliseconds, onReply, onNoReply} = this.#options;
		const {instance} = parent;
		const pending = node.begin(instance, clock.monotonic());
		const answer = await network.request(
			parent,
			{scope: 'distribution', type: 'exchange', body: encodeExchange(pending.exchange)},
			{timeoutMilliseconds: periodMilliseconds * timeoutPeriods},
		);
		const tuple = answer.toMaybe().extractNullable() as ReplyTuple | undefined;
		if (tuple === null || tuple === undefined) {
			this.#avoidedUntil.set(instance, clock.monotonic() + (periodMilliseconds * avoidancePeriods));
			onNoReply(instance);
			return true;
		}

		this.#avoidedUntil.delete(instance);
		const reply = decodeReply(tuple);
		node.finish(pending, {parent: instance, reply, now: clock.monotonic()});
		onReply(instance, reply);
		return node.isSettled(instance);
	}

	/** Runs one exchange. A reply that cannot be decoded, for example from another release, counts as no reply. */
	async #tryExchange(parent: PeerAddress): Promise<boolean> {
		try {
			return await this.#exchangeWith(parent);
		} catch (error) {
			const {clock, periodMilliseconds, onError} = this.#options;
			this.#avoidedUntil.set(parent.instance, clock.monotonic() + (periodMilliseconds * avoidancePeriods));
			onError(error);
			return true;
		}
	}

	#chooseParent(): PeerAddress | undefined {
		const {candidates, clock, isLeaseValid} = this.#options;
		const all = candidates();
		const now = clock.monotonic();
		this.#exchangeCount++;
		const usable = all.filter(({instance}) => (this.#avoidedUntil.get(instance) ?? 0) <= now);
		if (usable.length === 0) {
			return all.toSorted((left, right) => (this.#avoidedUntil.get(left.instance) ?? 0) - (this.#avoidedUntil.get(right.instance) ?? 0))[0];
		}

		const triesAlternative = !isLeaseValid() && this.#exchangeCount % exchangesPerAlternative === 0;
		return triesAlternative ? usable[Math.floor(this.#exchangeCount / exchangesPerAlternative) % usable.length] : usable[0];
	}
}
