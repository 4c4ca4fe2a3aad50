import {type Clock, type InstanceId} from '@valehitch/core';
import {type ConfigurationRelay, type LeaseRelease} from '@valehitch/membership';
import {type PeerAddress, type PeerNetwork} from '@valehitch/transport';
import {type PeerMessage} from '../messages.js';

/** Options of {@linkcode LeaseConfirmations}. */
export type LeaseConfirmationsOptions = {
	readonly clock: Clock;
	readonly relay: ConfigurationRelay;
	/** Returns the address of an instance, if known. */
	readonly addressOf: (instance: InstanceId) => PeerAddress | undefined;
	readonly network: Pick<PeerNetwork<PeerMessage>, 'send'>;
	/** Called when the revision confirmed here has changed and the parent must be informed soon. */
	readonly onChange: () => void;
};

/**
Synchronizes lease confirmations between this instance, its parent and its former parents.

@example
```ts
const reply = confirmations.track(() => node.answer(exchange, now));
```
*/
export class LeaseConfirmations {
	readonly #options: LeaseConfirmationsOptions;

	constructor(options: LeaseConfirmationsOptions) {
		this.#options = options;
	}

	/**
	Applies a change and calls `onChange` if it altered the confirmations of this instance.

	@param change The function that applies the change.
	@returns The result of the function.
	*/
	track<Result>(change: () => Result): Result {
		const {clock, relay, onChange} = this.#options;
		const now = clock.monotonic();
		const before = JSON.stringify(relay.minimumRevisions(now));
		const result = change();
		if (JSON.stringify(relay.minimumRevisions(now)) !== before) {
			onChange();
		}

		return result;
	}

	/**
	Handles the message of a former child that another parent now covers it.

	@param release The message.
	*/
	release(release: LeaseRelease): void {
		this.track(() => {
			this.#options.relay.releaseChild(release);
		});
	}

	/** Informs former parents that the current parent covers the confirmations they still count. If a message is lost, they count them for one more lease duration. */
	releaseFormerParents(): void {
		const {relay, addressOf, network} = this.#options;
		for (const [former, body] of relay.drainReleases()) {
			const address = addressOf(former);
			if (address !== undefined) {
				network.send(address, {scope: 'distribution', type: 'release', body});
			}
		}
	}
}
