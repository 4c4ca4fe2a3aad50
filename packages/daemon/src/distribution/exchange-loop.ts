import {type Clock, type InstanceId} from '@valehitch/core';
import {type PeerAddress, type PeerNetwork} from '@valehitch/transport';
import {type PeerMessage} from '../messages.js';
import {readReply, type ReplyTuple, writeExchange} from './exchange-codec.js';
import {type ExchangeReply} from './messages.js';
import {type RelayNode} from './relay-node.js';

/** What the loop needs. */
export type ExchangeLoopOptions = {
	readonly clock: Clock;
	readonly network: Pick<PeerNetwork<PeerMessage>, 'request'>;
	readonly node: Pick<RelayNode, 'begin' | 'finish' | 'isSettled'>;
	/** Milliseconds between two exchanges without news. */
	readonly periodMilliseconds: number;
	/** The instances that may be asked, the best first. */
	readonly candidates: () => readonly PeerAddress[];
	/** Whether the own lease is valid; without one the other candidates are tried in between. */
	readonly isLeaseValid: () => boolean;
	/** Told of each answer. */
	readonly onReply: (parent: InstanceId, reply: ExchangeReply) => void;
	/** Told of each instance that did not answer. */
	readonly onSilence: (parent: InstanceId) => void;
	/** Told of each answer that could not be taken. */
	readonly onError: (error: unknown) => void;
};

/** The least time between two exchanges, however much news there is. */
const gapMilliseconds = 50;
const periodsToTimeout = 2;
const periodsToAvoid = 8;
const exchangesPerDetour = 4;

/**
Asks a parent again and again: at each period, and sooner when there is news.

@example
```ts
const loop = new ExchangeLoop(options);
loop.start();
```
*/
export class ExchangeLoop {
	readonly #options: ExchangeLoopOptions;
	/** Until when an instance that did not answer is passed over. */
	readonly #avoided = new Map<InstanceId, number>();
	#timer: NodeJS.Timeout | undefined;
	#isBusy = false;
	#isAwake = false;
	#isStopped = false;
	#count = 0;

	constructor(options: ExchangeLoopOptions) {
		this.#options = options;
	}

	/** Starts to ask. */
	start(): void {
		this.#schedule(0);
	}

	/** Stops asking. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	/** Asks soon, since there is news. */
	wake(): void {
		if (this.#isBusy) {
			this.#isAwake = true;
			return;
		}

		if (!this.#isAwake) {
			this.#isAwake = true;
			this.#schedule(gapMilliseconds);
		}
	}

	/**
	Takes signs of life: instances that were passed over for their silence may be asked again.

	@param instances The instances.
	*/
	noteAlive(instances: readonly InstanceId[]): void {
		for (const instance of instances) {
			this.#avoided.delete(instance);
		}
	}

	#schedule(milliseconds: number): void {
		clearTimeout(this.#timer);
		if (!this.#isStopped) {
			this.#timer = setTimeout(() => {
				void this.#exchange();
			}, milliseconds);
		}
	}

	async #exchange(): Promise<void> {
		this.#isAwake = false;
		this.#isBusy = true;
		const parent = this.#choose();
		const isSettled = parent === undefined || await this.#tryToAsk(parent);
		this.#isBusy = false;
		this.#schedule(this.#isAwake || !isSettled ? gapMilliseconds : this.#options.periodMilliseconds);
	}

	/** Asks one instance; gives whether nothing is left to say to it. */
	async #ask(parent: PeerAddress): Promise<boolean> {
		const {clock, network, node, periodMilliseconds, onReply, onSilence} = this.#options;
		const {instance} = parent;
		const begun = node.begin(instance, clock.monotonic());
		const answer = await network.request(
			parent,
			{scope: 'distribution', type: 'exchange', body: writeExchange(begun.exchange)},
			{timeoutMilliseconds: periodMilliseconds * periodsToTimeout},
		);
		const tuple = answer.toMaybe().extractNullable() as ReplyTuple | undefined;
		if (tuple === null || tuple === undefined) {
			this.#avoided.set(instance, clock.monotonic() + (periodMilliseconds * periodsToAvoid));
			onSilence(instance);
			return true;
		}

		this.#avoided.delete(instance);
		const reply = readReply(tuple);
		node.finish(begun, {parent: instance, reply, now: clock.monotonic()});
		onReply(instance, reply);
		return node.isSettled(instance);
	}

	/** Asks one instance; an answer that cannot be read, such as one of another release, counts as none. */
	async #tryToAsk(parent: PeerAddress): Promise<boolean> {
		try {
			return await this.#ask(parent);
		} catch (error) {
			const {clock, periodMilliseconds, onError} = this.#options;
			this.#avoided.set(parent.instance, clock.monotonic() + (periodMilliseconds * periodsToAvoid));
			onError(error);
			return true;
		}
	}

	#choose(): PeerAddress | undefined {
		const {candidates, clock, isLeaseValid} = this.#options;
		const all = candidates();
		const now = clock.monotonic();
		this.#count++;
		const usable = all.filter(({instance}) => (this.#avoided.get(instance) ?? 0) <= now);
		if (usable.length === 0) {
			return all.toSorted((left, right) => (this.#avoided.get(left.instance) ?? 0) - (this.#avoided.get(right.instance) ?? 0))[0];
		}

		const isDetour = !isLeaseValid() && this.#count % exchangesPerDetour === 0;
		return isDetour ? usable[Math.floor(this.#count / exchangesPerDetour) % usable.length] : usable[0];
	}
}
