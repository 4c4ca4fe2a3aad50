import {type EffectiveConfiguration, toRevision} from '@valehitch/core';
import {type PeerAddress, type PeerNetwork} from '@valehitch/transport';
import {type Member} from '../member.js';
import {type PeerMessage} from '../messages.js';
import {type SubscribeReply} from './messages.js';

/** What the link needs. */
export type ConfigurationLinkOptions = {
	readonly network: PeerNetwork<PeerMessage>;
	readonly self: Member;
	/** The instances that can be asked, in this order, until one answers. */
	readonly sources: readonly PeerAddress[];
	/** Milliseconds between two questions for what is new. */
	readonly pollMilliseconds: number;
	/** Called with each newer configuration. */
	readonly onConfiguration: (effective: EffectiveConfiguration) => void;
};

/**
Keeps the configuration and the list of members current.

@example
```ts
const link = new ConfigurationLink(options);
link.start();
```
*/
export class ConfigurationLink {
	readonly #options: ConfigurationLinkOptions;
	#revision = toRevision(0);
	#members: readonly Member[] = [];
	#timer: NodeJS.Timeout | undefined;
	#stopped = false;

	constructor(options: ConfigurationLinkOptions) {
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

	async #poll(): Promise<void> {
		await this.#refresh();
		if (!this.#stopped) {
			this.#timer = setTimeout(() => {
				void this.#poll();
			}, this.#options.pollMilliseconds);
		}
	}

	async #refresh(): Promise<void> {
		const body = await this.#ask();
		if (body === undefined) {
			return;
		}

		this.#members = body.members;
		if (body.effective !== undefined && body.effective.revision > this.#revision) {
			this.#revision = body.effective.revision;
			this.#options.onConfiguration(body.effective);
		}
	}

	async #ask(): Promise<SubscribeReply | undefined> {
		const {network, sources, self} = this.#options;
		for (const source of sources) {
			const reply = await network.request(source, {
				scope: 'distribution', type: 'subscribe', member: self, revision: this.#revision,
			});
			const body = reply.orDefault(undefined);
			if (body !== undefined) {
				return body as SubscribeReply;
			}
		}

		return undefined;
	}
}
