import {type Command, type CommandAnswer} from '@valehitch/control';
import {type EffectiveConfiguration, type Failure, toRevision} from '@valehitch/core';
import {type PeerAddress, type PeerNetwork} from '@valehitch/transport';
import {type Either, Left, Right} from 'purify-ts';
import {
	fromResultReply, type InForce, type LedgerMessage, type LedgerPage, type Member, type PeerMessage, type ProposeReply, type SubscribeReply,
} from '../messages.js';

/** What the link to the control role needs. */
export type ControlLinkOptions = {
	readonly network: PeerNetwork<PeerMessage>;
	readonly self: Member;
	/** The instance with the control role. */
	readonly control: PeerAddress;
	/** Milliseconds between two questions for what is new. */
	readonly pollMilliseconds: number;
	/** Called with each newer configuration. */
	readonly onConfiguration: (effective: EffectiveConfiguration) => void;
};

/**
The link of an instance to the control role: keeps the configuration and the list of members current, and passes commands on.

@example
```ts
const link = new ControlLink(options);
link.start();
```
*/
export class ControlLink {
	readonly #options: ControlLinkOptions;
	#revision = toRevision(0);
	#members: readonly Member[] = [];
	#timer: NodeJS.Timeout | undefined;
	#stopped = false;

	constructor(options: ControlLinkOptions) {
		this.#options = options;
	}

	/** The daemons that are there. */
	get members(): readonly Member[] {
		return this.#members;
	}

	/** Starts to ask for what is new. */
	start(): void {
		void this.#poll();
	}

	/** Stops asking. */
	stop(): void {
		this.#stopped = true;
		clearTimeout(this.#timer);
	}

	/**
	Passes a command to the control role.

	@param command The command.
	@returns What it gave, or `no-quorum` where no reply came.
	*/
	async propose(command: Command): Promise<Either<Failure, CommandAnswer>> {
		const reply = await this.#options.network.request(this.#options.control, {type: 'propose', command});
		return reply.chain(body => fromResultReply(body as ProposeReply));
	}

	/** Asks which zones still wait for the current revision. */
	async inForce(): Promise<Either<Failure, InForce>> {
		const reply = await this.#options.network.request(this.#options.control, {type: 'in-force'});
		return reply.map(body => body as InForce);
	}

	/**
	Asks for a page of the ledger.

	@param question The workspace and how many bills to pass over.
	@returns The page.
	*/
	async ledger(question: Omit<LedgerMessage, 'type'>): Promise<Either<Failure, LedgerPage>> {
		const reply = await this.#options.network.request(this.#options.control, {type: 'ledger', ...question});
		return reply.map(body => body as LedgerPage);
	}

	/** Asks for what is new at once. */
	async refresh(): Promise<Either<Failure, SubscribeReply>> {
		const {network, control, self, onConfiguration} = this.#options;
		const reply = await network.request(control, {type: 'subscribe', member: self, revision: this.#revision});
		if (reply.isLeft()) {
			return Left(reply.extract());
		}

		const body = reply.extract() as SubscribeReply;
		this.#members = body.members;
		if (body.effective !== undefined && body.effective.revision > this.#revision) {
			this.#revision = body.effective.revision;
			onConfiguration(body.effective);
		}

		return Right(body);
	}

	async #poll(): Promise<void> {
		await this.refresh();
		if (!this.#stopped) {
			this.#timer = setTimeout(() => {
				void this.#poll();
			}, this.#options.pollMilliseconds);
		}
	}
}
