import {type InstanceId, type RequestFingerprint, type ServerId} from '@valehitch/core';
import {promptPartFingerprint, SuspectRegistry, type SuspectRecord} from '@valehitch/routing';
import {testServer} from '../servers/_test-server.js';
import {doubtfulPartMilliseconds} from './request-run.js';
import {EntrySuspects, type RequestSuspects} from './entry-suspects.js';

/** The size of a simulated deployment, its traffic and its faults. */
export type CrashSimulationOptions = {
	readonly instances: number;
	readonly servers: number;
	readonly requestsPerSecond: number;
	/** How long the traffic lasts, in milliseconds. */
	readonly duration: number;
	readonly random: () => number;
	/** The parts that crash each server that answers them: at which position of how many prompts a second, and from when on, in milliseconds. */
	readonly crashingParts?: ReadonlyArray<{readonly id: string; readonly depth: 0 | 1; readonly requestsPerSecond: number; readonly from: number}>;
	/** The requests that crash each server that runs them, with the parts of their prompts: how many of them arrive a second, and from when on, in milliseconds. */
	readonly crashingRequests?: ReadonlyArray<{readonly id: string; readonly parts: readonly string[]; readonly requestsPerSecond: number; readonly from: number}>;
	/** How often a caller sends a request that is not answered; once by default. */
	readonly callerAttempts?: number;
	/** How long a server takes to answer, in milliseconds; 340 by default. */
	readonly answerDuration?: number;
	/** Returns how many servers exit at a time, whatever they process; none by default. */
	readonly exitsAt?: (time: number) => number;
};

/** When requests with a certain cause of crashes reached servers and when servers exited during them, in milliseconds. */
export type CrashTimes = {
	readonly sends: readonly number[];
	readonly exits: readonly number[];
};

/** What a simulated deployment did. */
export type CrashSimulationResult = {
	readonly crashes: number;
	readonly crashingParts: readonly CrashTimes[];
	readonly crashingRequests: readonly CrashTimes[];
	readonly innocentRequests: number;
	/** The requests that crash no server and were refused as quarantined. */
	readonly refusedInnocent: number;
};

type SimulatedRequest = RequestSuspects & {
	readonly id: string;
	/** The number of the part or the request that crashes servers; undefined for innocent requests. */
	readonly crashing: number | undefined;
	readonly instance: number;
	readonly sends: number;
	/** How often its caller has sent it. */
	readonly attempts: number;
};

type SimulatedSend = {
	readonly request: SimulatedRequest;
	readonly endsAt: number;
};

const stepMilliseconds = 10;
const answerMilliseconds = 340;
const crashMilliseconds = 60;
const restartMilliseconds = 3000;
/** How long a report takes to a control instance, and its news to the entry instances. */
const reportMilliseconds = 20;
const newsMilliseconds = 40;
const maximumSends = 3;
const callerDelayMilliseconds = 400;
const firstPartCount = 6;
const subjectCount = 200;
const control = '10.0.0.1' as InstanceId;

/**
Simulates what entry instances learn about requests that crash servers, with one control instance that passes on their reports.

@param options The deployment and its faults.
@returns What it did.
*/
export async function simulateCrashes(options: CrashSimulationOptions): Promise<CrashSimulationResult> {
	const simulation = new CrashSimulation(options);
	for (let time = 0; time < options.duration; time += stepMilliseconds) {
		await simulation.step(time);
	}

	return simulation.result;
}

class CrashSimulation {
	readonly #options: CrashSimulationOptions;
	/** The crashing parts, followed by the crashing requests. */
	readonly #causes: ReadonlyArray<{readonly sends: number[]; readonly exits: number[]}>;
	readonly #instances: EntrySuspects[];
	readonly #cursors: number[];
	readonly #control = new SuspectRegistry();
	readonly #servers: Array<{process: number; upAt: number; sends: SimulatedSend[]}>;
	readonly #reports: Array<{readonly at: number; readonly record: SuspectRecord}> = [];
	/** The requests that wait before they are sent again. */
	#delayed: ReadonlyArray<{readonly at: number; readonly request: SimulatedRequest}> = [];
	#time = 0;
	#arrivals = 0;
	#crashes = 0;
	#innocentRequests = 0;
	#refusedInnocent = 0;

	constructor(options: CrashSimulationOptions) {
		this.#options = options;
		this.#causes = [...options.crashingParts ?? [], ...options.crashingRequests ?? []].map(() => ({sends: [], exits: []}));
		this.#cursors = Array.from({length: options.instances}, () => 0);
		this.#servers = Array.from({length: options.servers}, () => ({process: 0, upAt: 0, sends: []}));
		this.#instances = Array.from({length: options.instances}, () => this.#createInstance());
	}

	get result(): CrashSimulationResult {
		const parts = this.#options.crashingParts?.length ?? 0;
		return {
			crashes: this.#crashes,
			crashingParts: this.#causes.slice(0, parts),
			crashingRequests: this.#causes.slice(parts),
			innocentRequests: this.#innocentRequests,
			refusedInnocent: this.#refusedInnocent,
		};
	}

	async step(time: number): Promise<void> {
		this.#time = time;
		this.#passReports();
		this.#passNews();
		this.#sendDelayed();
		this.#arrive();
		for (let exits = this.#options.exitsAt?.(time) ?? 0; exits > 0; exits--) {
			await this.#exit(Math.floor(this.#options.random() * this.#servers.length));
		}

		for (const [index, {sends}] of this.#servers.entries()) {
			const due = sends.filter(({endsAt}) => endsAt <= time);
			if (due.some(({request}) => request.crashing !== undefined)) {
				await this.#exit(index);
				continue;
			}

			for (const {request} of due) {
				this.#instances[request.instance]!.recordAnswered(request.fingerprint);
				this.#instances[request.instance]!.recordAnsweredParts(request.parts);
			}

			this.#servers[index]!.sends = sends.filter(({endsAt}) => endsAt > time);
		}
	}

	#createInstance(): EntrySuspects {
		const suspects: EntrySuspects = new EntrySuspects({
			clock: {now: () => new Date(this.#time)},
			log() {
				// The result is counted from outside.
			},
			servers: {processStateOf: () => 'replaced'},
			checkProcess: async () => 'ended',
			onChanged: fingerprint => {
				this.#reports.push({at: this.#time + reportMilliseconds, record: suspects.registry.get(fingerprint)!});
			},
		});
		return suspects;
	}

	#passReports(): void {
		while (this.#reports.length > 0 && this.#reports[0]!.at <= this.#time) {
			this.#control.merge([this.#reports.shift()!.record]);
		}
	}

	#passNews(): void {
		const {cursor} = this.#control;
		for (const [index, suspects] of this.#instances.entries()) {
			if (this.#time % newsMilliseconds === 0 && this.#cursors[index]! < cursor) {
				suspects.merge(this.#control.changedSince(this.#cursors[index]!), control);
				this.#cursors[index] = cursor;
			}
		}
	}

	#sendDelayed(): void {
		const due = this.#delayed.filter(({at}) => at <= this.#time);
		this.#delayed = this.#delayed.filter(({at}) => at > this.#time);
		for (const {request} of due) {
			this.#send(request);
		}
	}

	#arrive(): void {
		const {requestsPerSecond, crashingParts = [], crashingRequests = []} = this.#options;
		for (let count = this.#countArrivals(requestsPerSecond); count > 0; count--) {
			this.#innocentRequests++;
			this.#send(this.#createRequest([`first ${this.#pick(firstPartCount)}`, `subject ${this.#pick(subjectCount)}`], {crashing: undefined}));
		}

		for (const [crashing, {id, depth, requestsPerSecond: rate, from}] of crashingParts.entries()) {
			for (let count = this.#time < from ? 0 : this.#countArrivals(rate); count > 0; count--) {
				const parts = depth === 0 ? [id, `subject ${this.#pick(subjectCount)}`] : ['first 0', id];
				this.#send(this.#createRequest(parts, {crashing}));
			}
		}

		for (const [index, {id, parts, requestsPerSecond: rate, from}] of crashingRequests.entries()) {
			for (let count = this.#time < from ? 0 : this.#countArrivals(rate); count > 0; count--) {
				this.#send({...this.#createRequest(parts, {crashing: crashingParts.length + index}), fingerprint: id as RequestFingerprint});
			}
		}
	}

	#countArrivals(perSecond: number): number {
		const expected = perSecond * stepMilliseconds / 1000;
		return Math.floor(expected) + (this.#options.random() < expected % 1 ? 1 : 0);
	}

	/** Picks a number such that small ones are frequent. */
	#pick(count: number): number {
		return Math.floor(count * (this.#options.random() ** 2));
	}

	#createRequest(parts: readonly string[], {crashing}: Pick<SimulatedRequest, 'crashing'>): SimulatedRequest {
		this.#arrivals++;
		return {
			id: `a${this.#arrivals}`, fingerprint: `request ${this.#arrivals}` as RequestFingerprint, parts: parts.map(id => promptPartFingerprint(id)),
			crashing, instance: this.#chooseInstance(), sends: 0, attempts: 1,
		};
	}

	#chooseInstance(): number {
		return Math.floor(this.#options.random() * this.#instances.length);
	}

	/** Lets the caller of a request that is not answered come again at another instance. */
	#callAgain(request: SimulatedRequest): void {
		const {callerAttempts = 1} = this.#options;
		if (request.crashing === undefined && request.attempts < callerAttempts) {
			const again = {
				...request, instance: this.#chooseInstance(), sends: 0, attempts: request.attempts + 1,
			};
			this.#delayed = [...this.#delayed, {at: this.#time + callerDelayMilliseconds, request: again}];
		}
	}

	#send(request: SimulatedRequest): void {
		if (request.sends === maximumSends) {
			this.#callAgain(request);
			return;
		}

		if (this.#instances[request.instance]!.standingOf(request) === 'quarantined') {
			this.#refusedInnocent += request.crashing === undefined ? 1 : 0;
			return;
		}

		const running = this.#servers.filter(({upAt}) => upAt <= this.#time);
		const server = running[Math.floor(this.#options.random() * running.length)];
		if (server === undefined) {
			this.#callAgain(request);
			return;
		}

		if (request.crashing !== undefined) {
			this.#causes[request.crashing]!.sends.push(this.#time);
		}

		const duration = request.crashing === undefined ? this.#options.answerDuration ?? answerMilliseconds : crashMilliseconds;
		server.sends.push({request: {...request, sends: request.sends + 1}, endsAt: this.#time + duration});
	}

	async #exit(index: number): Promise<void> {
		const server = this.#servers[index]!;
		if (server.upAt > this.#time) {
			return;
		}

		this.#crashes++;
		const record = testServer({id: `server-${index}` as ServerId, startedAt: server.process});
		const lost = server.sends;
		Object.assign(server, {process: server.process + 1, upAt: this.#time + restartMilliseconds, sends: []});
		for (const crashing of new Set(lost.map(({request}) => request.crashing ?? -1))) {
			this.#causes[crashing]?.exits.push(this.#time);
		}

		for (const {request} of lost) {
			await this.#instances[request.instance]!.recordLoss({...request, request: request.id, server: record});
		}

		for (const {request} of lost) {
			if (request.parts.some(part => this.#instances[request.instance]!.statusOf(part) === 'doubtful')) {
				this.#delayed = [...this.#delayed, {at: this.#time + doubtfulPartMilliseconds, request}];
			} else {
				this.#send(request);
			}
		}
	}
}
