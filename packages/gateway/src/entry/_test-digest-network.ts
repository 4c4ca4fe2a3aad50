import {setImmediate} from 'node:timers/promises';
import {type InstanceId, type ServerId, type ZoneId} from '@valehitch/core';
import {type HeldWork} from '@valehitch/routing';
import {pack} from 'msgpackr';
import {MessageReaders} from '../control/message-readers.js';
import {type WorkReportMessage, type WorkSummaryMessage} from '../control/peer-message.js';
import {PoolWork} from '../control/pool-work.js';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {seededRandom} from './_test-random.js';
import {PoolLoads} from './pool-loads.js';
import {type ServerLoad} from './tracked-server.js';

/** A message between two instances, and the conditions of its delivery. */
export type TestDelivery = {
	readonly from: InstanceId;
	readonly to: InstanceId;
	/** Milliseconds from the start. */
	readonly now: number;
};

/** Options of {@linkcode DigestNetwork}. */
export type DigestNetworkOptions = {
	readonly entries: number;
	readonly servers: number;
	/** The share of messages that are lost; 0 by default. */
	readonly lossRate?: number;
	/** The share of messages that arrive twice; 0 by default. */
	readonly repeatRate?: number;
	/** The longest time that a message takes, in milliseconds; 4 by default. */
	readonly maximumDelay?: number;
	/** Whether a message is held back by a failure; none is by default. */
	readonly isBlocked?: (delivery: TestDelivery) => boolean;
};

type TestEntry = {
	readonly id: InstanceId;
	readonly loads: Map<ServerId, ServerLoad>;
	/** The work that it holds back. */
	readonly held: HeldWork[];
	readonly pool: PoolLoads;
	readonly controls: MessageReaders;
};

const stepMilliseconds = 10;
const controlCount = 3;

/** Entry and control instances on a simulated network and clock. */
export class DigestNetwork {
	readonly entries: readonly TestEntry[];
	readonly servers: readonly ServerId[];
	readonly lines: string[] = [];
	/** The encoded bytes that each instance has sent and received. */
	readonly bytes = new Map<InstanceId, number>();
	now = 0;
	/** How often the clock was read. */
	clockReadings = 0;

	readonly #clock = {
		monotonic: () => {
			this.clockReadings++;
			return this.now;
		},
	};

	readonly #options: DigestNetworkOptions;
	readonly #random = seededRandom();
	readonly #controls = new Map<InstanceId, PoolWork>();
	#events: Array<{readonly at: number; readonly run: () => void}> = [];

	constructor(options: DigestNetworkOptions) {
		this.#options = options;
		this.servers = Array.from({length: options.servers}, (_, index) => `10.1.0.${index}:9000` as ServerId);
		for (let index = 1; index <= controlCount; index++) {
			this.restartControl(controlId(index), 'one');
		}

		this.entries = Array.from({length: options.entries}, (_, index) => this.#createEntry(`10.0.0.${index}` as InstanceId));
	}

	/** Starts a control instance with nothing in its memory. */
	restartControl(id: InstanceId, run: string): void {
		this.#controls.set(id, new PoolWork({
			clock: this.#clock,
			run,
			others: () => [...this.#controls.keys()].filter(other => other !== id),
			ask: async (to, message) => this.#ask({from: id, to, now: this.now}, message, 500),
		}));
	}

	/** Runs for a time; `onStep` is called every 80 ms. */
	async run(milliseconds: number, onStep?: () => void): Promise<void> {
		const end = this.now + milliseconds;
		while (this.now < end) {
			this.now += stepMilliseconds;
			this.#deliver();
			this.#announceReaders();
			for (const [index, {pool}] of this.entries.entries()) {
				if ((this.now + (stepMilliseconds * index)) % 80 === 0) {
					pool.flush();
				}
			}

			for (const [index, control] of [...this.#controls.values()].entries()) {
				if ((this.now + (30 * index)) % 100 === 0) {
					control.sendSummaries();
				}
			}

			await setImmediate();
			if (this.now % 80 === 0) {
				onStep?.();
			}
		}
	}

	/** Returns the work of all entry instances at a server, in milliseconds of unanswered prompts. */
	readingAt(server: ServerId): number {
		let sum = 0;
		for (const {loads} of this.entries) {
			sum += loads.get(server)?.reading ?? 0;
		}

		return sum;
	}

	#createEntry(id: InstanceId): TestEntry {
		const loads = new Map(this.servers.map(server => [server, {reading: Math.ceil(200 * this.#random()), streams: 3}]));
		const held: HeldWork[] = [];
		const controls = new MessageReaders();
		const pool = new PoolLoads({
			clock: this.#clock,
			random: this.#random,
			zone: 'hall-a' as ZoneId,
			run: 'one',
			log: kind => {
				this.lines.push(kind);
			},
			metrics: createGatewayMetrics(),
			controls,
			exchange: {recordChange: doNothing, discardServer: doNothing, peerLoadAt: () => -1},
			isLarge: () => this.#options.entries > 7,
			ownLoads: () => loads,
			ownLoadAt: server => loads.get(server),
			heldWork: () => [...held],
			ask: async (to, message, timeout) => this.#ask({from: id, to, now: this.now}, message, timeout),
		});
		return {
			id, loads, held, pool, controls,
		};
	}

	/** Lets control instances that can be reached say what they read, as they do in their replies to polls and in records of servers. */
	#announceReaders(): void {
		if (this.now % 500 !== stepMilliseconds) {
			return;
		}

		for (const to of this.#controls.keys()) {
			for (const {id, controls} of this.entries) {
				controls.record(to, {canRead: !this.#isBlocked({from: id, to, now: this.now})});
			}

			for (const [from, control] of this.#controls) {
				control.summaryReaders.record(to, {canRead: !this.#isBlocked({from, to, now: this.now})});
			}
		}
	}

	async #ask<Reply>(delivery: TestDelivery, message: WorkReportMessage | WorkSummaryMessage, timeout: number): Promise<Reply | undefined> {
		return new Promise(resolve => {
			this.#schedule(timeout, () => {
				resolve(undefined);
			});
			this.#send(delivery, message, () => {
				const control = this.#controls.get(delivery.to)!;
				const reply = message.type === 'work-report' ? control.answer(delivery.from, message) : receiveSummary(control, delivery.from, message);
				this.#send({from: delivery.to, to: delivery.from, now: this.now}, reply, () => {
					resolve(reply as Reply);
				});
			});
		});
	}

	#send(delivery: TestDelivery, message: unknown, onArrival: () => void): void {
		const {lossRate = 0, repeatRate = 0, maximumDelay = 4} = this.#options;
		const {length} = pack(message);
		for (const id of [delivery.from, delivery.to]) {
			this.bytes.set(id, (this.bytes.get(id) ?? 0) + length);
		}

		const copies = this.#random() < repeatRate ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			if (this.#random() >= lossRate && !this.#isBlocked(delivery)) {
				this.#schedule(maximumDelay * this.#random(), onArrival);
			}
		}
	}

	#isBlocked(delivery: TestDelivery): boolean {
		return this.#options.isBlocked?.(delivery) === true;
	}

	#schedule(delay: number, run: () => void): void {
		this.#events.push({at: this.now + delay, run});
	}

	#deliver(): void {
		const due = this.#events.filter(({at}) => at <= this.now).toSorted((one, other) => one.at - other.at);
		this.#events = this.#events.filter(({at}) => at > this.now);
		for (const {run} of due) {
			run();
		}
	}
}

function receiveSummary(control: PoolWork, from: InstanceId, message: WorkSummaryMessage): true {
	control.receive(from, message);
	return true;
}

/** Returns the id of a control instance, from 1. */
export function controlId(index: number): InstanceId {
	return `10.2.0.${index}` as InstanceId;
}

function doNothing(): void {
	// Nothing is exchanged between peers.
}
