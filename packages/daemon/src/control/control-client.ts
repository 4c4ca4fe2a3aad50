import {type Command, type CommandAnswer} from '@valehitch/control';
import {type Failure} from '@valehitch/core';
import {type PeerAddress, type PeerNetwork} from '@valehitch/transport';
import {type Either} from 'purify-ts';
import {type PeerMessage} from '../messages.js';
import {fromResultReply} from '../result-reply.js';
import {type LedgerMessage, type LedgerPage, type ProposeReply} from './messages.js';

/** What a client of the control role needs. */
export type ControlClientOptions = {
	readonly network: PeerNetwork<PeerMessage>;
	/** The instances with the control role. */
	readonly control: readonly PeerAddress[];
};

/**
Passes commands and questions to the control role.

@example
```ts
const result = await client.propose({type: 'record-bills', bills});
```
*/
export class ControlClient {
	readonly #options: ControlClientOptions;

	constructor(options: ControlClientOptions) {
		this.#options = options;
	}

	/**
	Passes a command to the control role.

	@param command The command.
	@returns What it gave; `no-quorum` where no reply came, and then it may have been carried out or not.
	*/
	async propose(command: Command): Promise<Either<Failure, CommandAnswer>> {
		const reply = await this.#request({scope: 'control', type: 'propose', command});
		return reply.chain(body => fromResultReply(body as ProposeReply));
	}

	/**
	Asks for a page of the ledger.

	@param question The workspace and how many bills to pass over.
	@returns The page.
	*/
	async ledger(question: Omit<LedgerMessage, 'type' | 'scope'>): Promise<Either<Failure, LedgerPage>> {
		const reply = await this.#request({scope: 'control', type: 'ledger', ...question});
		return reply.map(body => body as LedgerPage);
	}

	async #request(message: PeerMessage): Promise<Either<Failure, unknown>> {
		const [first] = this.#options.control;
		if (first === undefined) {
			throw new RangeError('Got no control instance, wanted at least one');
		}

		return this.#options.network.request(first, message);
	}
}
