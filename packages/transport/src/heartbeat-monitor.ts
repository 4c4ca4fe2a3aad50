/** What a heartbeat asks for: nothing, a ping, or the end of the connection. */
export type HeartbeatStep = 'none' | 'ping' | 'close';

/**
Decides at each heartbeat of a connection whether its peer must be asked for a sign of life. A peer that has sent data needs no ping, which spares most pings between instances that exchange messages.

A peer that falls silent is found after at most three heartbeats.

@example
```ts
const monitor = new HeartbeatMonitor({maximumIdle: 30});
monitor.recordData();
monitor.beat(); // 'none'
monitor.beat(); // 'ping'
monitor.beat(); // 'close'
```
*/
export class HeartbeatMonitor {
	readonly #maximumIdle: number;
	#wasHeard = false;
	#wasUsed = false;
	#isPingPending = false;
	#idle = 0;

	/**
	@param options `maximumIdle`: the number of heartbeats after which a connection that is not used is closed.
	*/
	constructor({maximumIdle}: {readonly maximumIdle: number}) {
		this.#maximumIdle = maximumIdle;
	}

	/** Records that the peer has sent data or answered a ping. */
	recordData(): void {
		this.#wasHeard = true;
	}

	/** Records that this side has sent a message. */
	recordUse(): void {
		this.#wasUsed = true;
	}

	/**
	Passes to the next heartbeat.

	@returns What to do now.
	*/
	beat(): HeartbeatStep {
		const wasHeard = this.#wasHeard;
		this.#idle = this.#wasUsed ? 0 : this.#idle + 1;
		this.#wasHeard = false;
		this.#wasUsed = false;
		if ((this.#isPingPending && !wasHeard) || this.#idle > this.#maximumIdle) {
			return 'close';
		}

		this.#isPingPending = !wasHeard;
		return wasHeard ? 'none' : 'ping';
	}
}
