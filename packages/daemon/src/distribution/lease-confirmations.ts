import {type Clock, type InstanceId} from '@valehitch/core';
import {type ConfigurationRelay, type LeaseRelease} from '@valehitch/membership';
import {type PeerAddress, type PeerNetwork} from '@valehitch/transport';
import {type PeerMessage} from '../messages.js';

/** What the confirmations need. */
export type LeaseConfirmationsOptions = {
	readonly clock: Clock;
	readonly relay: ConfigurationRelay;
	/** Where an instance is reached, if that is known. */
	readonly addressOf: (instance: InstanceId) => PeerAddress | undefined;
	readonly network: Pick<PeerNetwork<PeerMessage>, 'send'>;
	/** Told when the parent must hear soon of what is confirmed here. */
	readonly onChange: () => void;
};

/**
Keeps what is confirmed of leases in step between this instance, its parent and its former parents.

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
	Makes a change, and tells whether it altered what is confirmed here.

	@param change Makes the change.
	@returns What the change gave.
	*/
	track<Result>(change: () => Result): Result {
		const {clock, relay, onChange} = this.#options;
		const now = clock.monotonic();
		const before = JSON.stringify(relay.confirmed(now));
		const result = change();
		if (JSON.stringify(relay.confirmed(now)) !== before) {
			onChange();
		}

		return result;
	}

	/**
	Takes the word of a former child that another parent covers it.

	@param release What it said.
	*/
	release(release: LeaseRelease): void {
		this.track(() => {
			this.#options.relay.release(release);
		});
	}

	/** Tells the former parents that the present one covers what they count; a word that is lost costs them one lease. */
	releaseFormerParents(): void {
		const {relay, addressOf, network} = this.#options;
		for (const [former, body] of relay.takeReleases()) {
			const address = addressOf(former);
			if (address !== undefined) {
				network.send(address, {scope: 'distribution', type: 'release', body});
			}
		}
	}
}
