import {LoopbackProxy, type LinkRule} from './loopback-proxy.js';

/** One direction between two addresses; undefined matches any address. */
export type Link = {
	readonly from: string | undefined;
	readonly to: string | undefined;
};

type Rule = Link & LinkRule;

/**
The proxies in front of all processes of a soak, and the link faults that they currently apply.

@example
```ts
const network = new SoakNetwork();
await network.addProxy({host, port, target});
const removeFault = network.addLinkFault({from: host, to: undefined}, {isSilent: true, delay: 0});
```
*/
export class SoakNetwork {
	readonly #proxies = new Map<string, LoopbackProxy>();
	readonly #rules = new Set<Rule>();

	/**
	Starts a proxy in front of an address.

	@param options Where the proxy listens, and the address to forward to.
	@returns The proxy.
	*/
	async addProxy(options: {readonly host: string; readonly port: number; readonly target: {readonly host: string; readonly port: number}}): Promise<LoopbackProxy> {
		const proxy = await LoopbackProxy.start({...options, ruleOf: (from, to) => this.#ruleOf(from, to)});
		this.#proxies.set(`${options.target.host}:${options.target.port}`, proxy);
		return proxy;
	}

	/**
	Adds a fault to a link.

	@param link The direction.
	@param rule The fault.
	@returns A function that removes the fault.
	*/
	addLinkFault(link: Link, rule: LinkRule): () => void {
		const linkRule = {...link, ...rule};
		this.#rules.add(linkRule);
		return () => {
			this.#rules.delete(linkRule);
		};
	}

	/**
	Resets the open connections to an address.

	@param host The address.
	*/
	reset(host: string): void {
		for (const [target, proxy] of this.#proxies) {
			if (target.startsWith(`${host}:`)) {
				proxy.reset();
			}
		}
	}

	close(): void {
		for (const proxy of this.#proxies.values()) {
			proxy.close();
		}
	}

	#ruleOf(from: string, to: string): LinkRule {
		let isSilent = false;
		let delay = 0;
		for (const rule of this.#rules) {
			if ((rule.from ?? from) === from && (rule.to ?? to) === to) {
				isSilent ||= rule.isSilent;
				delay = Math.max(delay, rule.delay);
			}
		}

		return {isSilent, delay};
	}
}
