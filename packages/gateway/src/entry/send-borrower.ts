import {
	type Clock, type InstanceId, type RandomSource, type ServerId, type ServiceId,
} from '@valehitch/core';
import {rateLoanMilliseconds} from '@valehitch/routing';
import {type BorrowMessage, type BorrowReply} from '../control/peer-message.js';
import {type KnownRateLimits} from './known-rate-limits.js';

/** Options of {@linkcode SendBorrower}. */
export type SendBorrowerOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly random: RandomSource;
	readonly rates: Pick<KnownRateLimits, 'lend' | 'addBorrowed'>;
	/** Returns the other entry instances that can be asked. */
	readonly peers: () => readonly InstanceId[];
	/** Returns the servers of a service whose rate limits leave this instance no send now. */
	readonly exhaustedServers: (service: ServiceId) => readonly ServerId[];
	/** Asks another entry instance; resolves to undefined if it does not reply within the timeout in milliseconds. */
	readonly ask: (to: InstanceId, message: BorrowMessage, timeout: number) => Promise<BorrowReply | undefined>;
	/** Called with the number of sends that another instance lent. */
	readonly onBorrowed: (count: number) => void;
};

/** The sends that requests wait for, of one service. */
type Round = {
	/** Whether instances are being asked already, so that later requests need another round. */
	hasStarted: boolean;
	needed: number;
	readonly result: Promise<boolean>;
};

/** The number of servers that a request for sends names at most, so that it stays small. */
const maximumServers = 24;
/** How long no instance is asked for sends of a service after none had any, in milliseconds; up to as much is added at random. */
const futileMilliseconds = 250;

/**
Borrows sends to servers with rate limits from entry instances that do not need theirs.

The leases on a limit are divided evenly among instances, and take seconds to be divided anew. It answers the load of an instance to which most callers connect for some seconds, while the others have sends left. An instance asks only for the requests that wait, and lends at most half of what it has unused.

@example
```ts
const borrower = new SendBorrower({clock, random, rates, peers, exhaustedServers, ask, onBorrowed});
if (await borrower.borrow(service)) choose();
```
*/
export class SendBorrower {
	readonly #options: SendBorrowerOptions;
	readonly #rounds = new Map<ServiceId, Round>();
	/** When instances may be asked again for sends of a service, in milliseconds on the monotonic clock. */
	readonly #futileUntil = new Map<ServiceId, number>();
	#asked = 0;

	constructor(options: SendBorrowerOptions) {
		this.#options = options;
	}

	/**
	Borrows a send for a request of a service. Requests that arrive while instances are being asked share the next round.

	@param service The service.
	@returns Whether any send was borrowed; other requests may have used it in the meantime.
	*/
	async borrow(service: ServiceId): Promise<boolean> {
		if ((this.#futileUntil.get(service) ?? 0) > this.#options.clock.monotonic()) {
			return false;
		}

		const known = this.#rounds.get(service);
		if (known !== undefined && !known.hasStarted) {
			known.needed++;
			return known.result;
		}

		const round: Round = {hasStarted: false, needed: 1, result: this.#run(service, known?.result)};
		this.#rounds.set(service, round);
		return round.result;
	}

	/**
	Lends sends to another instance.

	@param message What it asks for.
	@returns The sends that it may use.
	*/
	lend({servers, count}: BorrowMessage): BorrowReply {
		const {clock, rates} = this.#options;
		const now = clock.monotonic();
		const sends: Array<readonly [ServerId, number]> = [];
		let remaining = count;
		for (const server of servers.slice(0, maximumServers)) {
			const lent = remaining > 0 ? rates.lend(server, remaining, now) : 0;
			remaining -= lent;
			if (lent > 0) {
				sends.push([server, lent]);
			}
		}

		return {sends};
	}

	async #run(service: ServiceId, previous: Promise<boolean> | undefined): Promise<boolean> {
		await previous;
		const round = this.#rounds.get(service)!;
		round.hasStarted = true;
		const borrowed = await this.#askPeers(service, round.needed);
		if (this.#rounds.get(service) === round) {
			this.#rounds.delete(service);
		}

		const {clock, random, onBorrowed} = this.#options;
		if (borrowed === 0) {
			this.#futileUntil.set(service, clock.monotonic() + (futileMilliseconds * (1 + random())));
		}

		onBorrowed(borrowed);
		return borrowed > 0;
	}

	/** Asks instances in turn until enough sends are borrowed. */
	async #askPeers(service: ServiceId, needed: number): Promise<number> {
		const {clock, random, rates, peers, exhaustedServers, ask} = this.#options;
		const order = exhaustedServers(service).map(server => ({server, key: random()})).toSorted((one, other) => one.key - other.key);
		const servers = order.slice(0, maximumServers).map(({server}) => server);
		const ids = peers();
		this.#asked++;
		let borrowed = 0;
		for (let offset = 0; offset < ids.length && borrowed < needed && servers.length > 0; offset++) {
			const askedAt = clock.monotonic();
			const peer = ids[(this.#asked + offset) % ids.length]!;
			const reply = await ask(peer, {type: 'borrow-sends', servers, count: needed - borrowed}, rateLoanMilliseconds / 2);
			for (const [server, count] of reply?.sends ?? []) {
				rates.addBorrowed(server, count, askedAt);
				borrowed += count;
			}
		}

		return borrowed;
	}
}
