import {type ResponseOf, type Command} from '@valehitch/control';
import {
	type Clock, type Failure, failure, type InstanceId,
} from '@valehitch/core';
import {type PeerAddress} from '@valehitch/transport';
import {type Either, Left} from 'purify-ts';
import {fromResultReply} from '../result-reply.js';
import {
	type ControlReply, type LeaderMessage, type LeaderRequest, type LeaderReply, type LedgerMessage, type LedgerPage, type OrderList,
} from './messages.js';

/** The dependencies of a `ControlClient`. */
export type ControlClientOptions = {
	readonly clock: Clock;
	/** Sends a request to one control instance. Returns a failure if no reply arrives in time, with the outcome `notRun` if nothing was sent. */
	readonly ask: (to: PeerAddress, message: LeaderRequest | LeaderMessage) => Promise<Either<Failure, unknown>>;
	/** The instances with the control role. */
	readonly control: readonly PeerAddress[];
	/** The instance to query first while no leader is known: this one if it has the control role, otherwise one in the same zone. */
	readonly preferred?: InstanceId | undefined;
	/** Waits for a number of milliseconds. */
	readonly wait: (milliseconds: number) => Promise<void>;
};

/** The options of a request. */
export type ControlRequestOptions = {
	/** The time after which the client stops retrying; 5000 ms by default. */
	readonly timeoutMilliseconds?: number;
};

const defaultTimeoutMilliseconds = 5000;
const retryPauseMilliseconds = 150;
const retryAfterMilliseconds = 1000;

/**
Sends commands and queries to the leader of the control role.

While no leader is known, the client first asks the control instances for it and sends the command only after that, so a partitioned instance that finds no leader can report that the command did not run. If the leader cannot be reached directly, the request goes through the instance that named it. Every command is idempotent by its own id, so the client sends it again if the reply is lost.

@example
```ts
const result = await client.propose({type: 'record-bills', bills});
```
*/
export class ControlClient {
	readonly #options: ControlClientOptions;
	#leader: InstanceId | undefined;

	constructor(options: ControlClientOptions) {
		this.#options = options;
	}

	/** The leader according to the last successful reply. */
	get leader(): InstanceId | undefined {
		return this.#leader;
	}

	/**
	Sends a command to the control role.

	@param command The command.
	@param options The timeout.
	@returns The result of the command; or `no-quorum`, with the outcome `notRun` if the command definitely did not run and `unknown` if it may have run.
	*/
	async propose<Kind extends Command>(command: Kind, options: ControlRequestOptions = {}): Promise<Either<Failure, ResponseOf<Kind>>> {
		const result = await this.#request({scope: 'control', type: 'propose', command}, options);
		return result.map(body => body as ResponseOf<Kind>);
	}

	/**
	Reads a page of the ledger.

	@param query The workspace and the position after which to read.
	@returns The page.
	*/
	async ledger(query: Omit<LedgerMessage, 'type' | 'scope'>): Promise<Either<Failure, LedgerPage>> {
		const result = await this.#request({scope: 'control', type: 'ledger', ...query}, {});
		return result.map(body => body as LedgerPage);
	}

	/** Reads the orders to engines. */
	async orders(): Promise<Either<Failure, OrderList>> {
		const result = await this.#request({scope: 'control', type: 'orders'}, {});
		return result.map(body => body as OrderList);
	}

	async #request(message: LeaderRequest, {timeoutMilliseconds = defaultTimeoutMilliseconds}: ControlRequestOptions): Promise<Either<Failure, unknown>> {
		const {clock, wait} = this.#options;
		const deadline = clock.monotonic() + timeoutMilliseconds;
		let mayHaveRun = false;
		let unreachable: InstanceId | undefined;
		do {
			const target = await this.#findTarget(unreachable);
			const result = target === undefined ? Left(noLeader()) : await this.#send(target, message);
			const failed = result.isLeft() ? result.extract() : undefined;
			if (failed?.kind !== 'no-quorum') {
				return result;
			}

			mayHaveRun ||= failed.outcome === 'unknown';
			unreachable = target?.instance;
			await wait(retryPauseMilliseconds);
		} while (clock.monotonic() < deadline);

		return Left({...noLeader(), outcome: mayHaveRun ? 'unknown' : 'notRun'});
	}

	/** Returns the leader, or the instance that named it if the leader itself was unreachable. */
	async #findTarget(unreachable: InstanceId | undefined): Promise<PeerAddress | undefined> {
		const cached = this.#addressOf(this.#leader);
		if (cached !== undefined) {
			return cached;
		}

		const {control, preferred, ask} = this.#options;
		const instances = control.toSorted((left, right) => Number(right.instance === preferred) - Number(left.instance === preferred));
		for (const instance of instances) {
			const reply = await ask(instance, {scope: 'control', type: 'leader'});
			const leader = this.#addressOf((reply.orDefault({}) as LeaderReply).leader);
			if (leader !== undefined) {
				return leader.instance === unreachable ? instance : leader;
			}
		}

		return undefined;
	}

	async #send(target: PeerAddress, message: LeaderRequest): Promise<Either<Failure, unknown>> {
		const reply = await this.#options.ask(target, message);
		if (reply.isLeft()) {
			this.#leader = undefined;
			return reply;
		}

		const {result, leader} = reply.extract() as ControlReply<unknown>;
		const isFromLeader = result.ok || result.failure.kind !== 'no-quorum';
		this.#leader = isFromLeader ? leader : undefined;
		return fromResultReply(result);
	}

	#addressOf(instance: InstanceId | undefined): PeerAddress | undefined {
		return this.#options.control.find(address => address.instance === instance);
	}
}

function noLeader(): Failure {
	return failure('no-quorum', 'No leader with a quorum replied', {retryAfterMilliseconds});
}
