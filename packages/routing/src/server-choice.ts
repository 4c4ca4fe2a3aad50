import {
	type Failure, failure, type RandomSource, type ServerId, type ZoneId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type AffinityScope} from './choose-affinity-scope.js';
import {type ServerVerdict} from './decision-history.js';
import {rendezvousScore} from './rendezvous-score.js';
import {spreadArrivals} from './spread-arrivals.js';
import {
	capacityBySpeed, reportedOtherLoad, serverLoad, type ServerLoadOptions, effectiveCapacity,
} from './server-load.js';
import {type ServerView} from './server-view.js';

/** The requirements that a server must meet. */
export type ServerCriteria = {
	/** The key of the version, as formatted by `versionKey`, or the name of the service. */
	readonly target: string;
	readonly excluded: ReadonlySet<ServerId>;
	/** The zones whose servers get no requests by order of the operator; none by default. */
	readonly evacuatedZones?: ReadonlySet<ZoneId>;
	/** The hash of the prompt prefix; undefined if prompt caching does not matter. */
	readonly prefix?: number | undefined;
	/** The share of this instance's requests that have the prefix, from 0 to 1; 0 by default. */
	readonly prefixShare?: number;
	/** The servers among which the preferred ones of the prefix are found; by default `zone`, the servers that would be chosen from without a prefix. */
	readonly affinityScope?: AffinityScope;
};

/** How a server is chosen. */
export type ServerChoiceOptions = ServerLoadOptions & {
	/** The zone of this instance. */
	readonly zone: ZoneId;
	readonly random: RandomSource;
	/** By how much the utilisation of the local zone must exceed that of the other zones before their servers are used; 0.5 by default. */
	readonly zonePenalty?: number;
	/** The maximum load of a preferred server of a prefix, relative to the mean load; 1.25 by default. */
	readonly loadBound?: number;
	/** How many randomly drawn servers are compared; 2 by default. */
	readonly sampleCount?: number;
	/** The load that arrives at a server in a millisecond at most, by which reports that are not of now are spread; 0 by default, which takes every report as of now. */
	readonly arrivalRate?: number;
	/** The load of the request itself, which counts at each compared server; 1 by default. */
	readonly requestLoad?: number;
};

/** The chosen server, and the verdicts on the servers that were considered. */
export type ServerChoice = {
	readonly server: ServerId;
	readonly considered: readonly ServerVerdict[];
};

type Candidate = {
	readonly server: ServerView;
	readonly load: number;
	readonly capacity: number;
};

type ScoredCandidate = {
	readonly candidate: Candidate;
	readonly score: number;
};

/** How likely each server is drawn. */
type Shares = {
	readonly values: readonly number[];
	readonly sum: number;
};

const maximumVerdicts = 8;
const retryAfterMilliseconds = 1000;
/** Keeps rounding errors from adding a whole request to the load bound. */
const roundingTolerance = 1e-9;

/**
Chooses a server: a preferred server of the prompt prefix while its load is within the bound, otherwise the least loaded of a few random servers.

The load bound is that of consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018). Comparing a few random servers instead of all keeps instances that share an outdated load report from all choosing the same server (Mitzenmacher, 2000). With the speeds of the servers and the load of the request, the least loaded one is the one with the earliest expected first event.

@param servers All servers.
@param options The requirements, and how a server is chosen.
@returns The choice, or a `no-server` failure.
@example
```ts
chooseServer(views, {target: 'tag-small@1.0', excluded: new Set(), zone, random});
```
*/
export function chooseServer(servers: readonly ServerView[], options: ServerCriteria & ServerChoiceOptions): Either<Failure, ServerChoice> {
	const considered: ServerVerdict[] = [];
	const views: ServerView[] = [];
	for (const server of servers) {
		const reason = ineligibilityReason(server, options);
		if (reason === undefined) {
			views.push(server);
		} else if (reason !== notLoadedReason) {
			addVerdict(considered, server, reason);
		}
	}

	const loadOptions = {...options, meanOtherLoad: meanOtherLoadOf(views)};
	const eligible = views.map(server => ({
		server, load: serverLoad(server, loadOptions), capacity: effectiveCapacity(server, options),
	}));
	const pool = selectZonePool(eligible, options);
	if (pool.length === 0) {
		const reasons = considered.map(({server, verdict}) => `${server} ${verdict}`).join('; ');
		return Left(failure('no-server', `No server is available for ${options.target} (${reasons || 'no server has it loaded'})`, {retryAfterMilliseconds}));
	}

	const chosen = choosePreferredServer(options.affinityScope === 'all' ? eligible : pool, options) ?? chooseLeastLoadedSample(pool, options);
	for (const {server} of eligible) {
		if (server === chosen.server || considered.length < maximumVerdicts) {
			addVerdict(considered, server, verdictFor(server, {chosen, pool}));
		}
	}

	return Right({server: chosen.server.id, considered});
}

/** Returns the servers of the local zone, or those of the other zones if the local zone has none or is much busier. */
function selectZonePool(eligible: readonly Candidate[], {zone, zonePenalty = 0.5}: ServerChoiceOptions): readonly Candidate[] {
	const localServers = eligible.filter(({server}) => server.zone === zone);
	if (localServers.length === 0 || localServers.length === eligible.length) {
		return eligible;
	}

	const remoteServers = eligible.filter(({server}) => server.zone !== zone);
	return utilisation(localServers) > utilisation(remoteServers) + zonePenalty ? remoteServers : localServers;
}

/** Chooses among the preferred servers of the prefix, which are those with the highest rendezvous scores whose load is within the bound. */
function choosePreferredServer(pool: readonly Candidate[], options: ServerCriteria & ServerChoiceOptions): Candidate | undefined {
	const {prefix, prefixShare = 0, loadBound = 1.25, affinityScope = 'zone'} = options;
	if (prefix === undefined || affinityScope === 'none') {
		return undefined;
	}

	const bound = loadBound * utilisation(pool, 1);
	const scored: ScoredCandidate[] = [];
	for (const candidate of pool) {
		const {load, capacity, server} = candidate;
		if (load + 1 <= Math.max(1, Math.ceil((bound * capacity) - roundingTolerance))) {
			scored.push({candidate, score: rendezvousScore(prefix, {server: server.id, capacity: homeCapacity(candidate)})});
		}
	}

	// A frequent prefix gets several preferred servers, so that none exceeds its share of the requests times the bound, though all instances prefer the same ones.
	const preferredCount = Math.max(1, Math.ceil(prefixShare * pool.length / loadBound));
	const chosen = scored.toSorted((one, other) => other.score - one.score).slice(0, preferredCount).map(({candidate}) => candidate);
	return chosen.length === 0 ? undefined : chooseLeastLoadedSample(chosen, options);
}

/** Returns the capacity by which a server is the home of prefixes. */
function homeCapacity({capacity, server: {speed = 1, homeSpeed = speed}}: Candidate): number {
	return homeSpeed === speed ? capacity : capacity * homeSpeed / speed;
}

function chooseLeastLoadedSample(pool: readonly Candidate[], options: ServerChoiceOptions): Candidate {
	const {random, sampleCount = 2, requestLoad = 1, arrivalRate = 0} = options;
	const arriving = arrivalRate * Math.max(...pool.map(({server}) => server.reportAge)) * pool.length;
	if (arriving > 0) {
		return drawByShare(pool, sharesOf(spreadArrivals(pool, arriving)), random);
	}

	const capacities = sharesOf(pool.map(({capacity}) => capacity));
	let best = drawByShare(pool, capacities, random);
	for (let drawn = 1; drawn < sampleCount; drawn++) {
		const other = drawByShare(pool, capacities, random);
		if (relativeLoad(other, requestLoad) < relativeLoad(best, requestLoad)) {
			best = other;
		}
	}

	return best;
}

function sharesOf(values: readonly number[]): Shares {
	return {values, sum: sumOf(values)};
}

/** Draws a random server with a probability proportional to its share. */
function drawByShare(pool: readonly Candidate[], {values, sum}: Shares, random: RandomSource): Candidate {
	let remaining = random() * sum;
	for (const [index, value] of values.entries()) {
		remaining -= value;
		if (remaining < 0) {
			return pool[index]!;
		}
	}

	return pool.at(-1)!;
}

function relativeLoad({load, capacity}: Candidate, requestLoad: number): number {
	return (load + requestLoad) / capacity;
}

function utilisation(candidates: readonly Candidate[], additionalLoad = 0): number {
	let load = additionalLoad;
	for (const candidate of candidates) {
		load += candidate.load;
	}

	return load / totalCapacity(candidates);
}

function meanOtherLoadOf(servers: readonly ServerView[]): number {
	let others = 0;
	let capacity = 0;
	for (const server of servers) {
		others += reportedOtherLoad(server);
		capacity += capacityBySpeed(server);
	}

	return capacity === 0 ? 0 : others / capacity;
}

function totalCapacity(candidates: readonly Candidate[]): number {
	return sumOf(candidates.map(({capacity}) => capacity));
}

function sumOf(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
}

const notLoadedReason = 'does not have it loaded';

/**
Returns why a server cannot be chosen.

@param server The server.
@param criteria The requirements.
@returns The reason, as the rest of a sentence that begins with the server; undefined if it can be chosen.
@example
```ts
ineligibilityReason(view, {target, excluded: new Set()}); // 'is shutting down'
```
*/
export function ineligibilityReason(server: ServerView, {target, excluded, evacuatedZones}: ServerCriteria): string | undefined {
	if (!server.loaded.has(target)) {
		return notLoadedReason;
	}

	if (evacuatedZones?.has(server.zone) === true) {
		return 'is in an evacuated availability zone';
	}

	if (server.rateLimited === true) {
		return 'is cold or limits its rate, and no send is left for it';
	}

	if (server.paused === true) {
		return 'has asked for a pause';
	}

	if (server.draining) {
		return 'is shutting down';
	}

	if (server.expired) {
		return 'has not announced itself for too long';
	}

	if (server.ejected) {
		return 'is ejected for its failures';
	}

	return excluded.has(server.id) ? 'was tried or is in use for this request' : undefined;
}

function verdictFor(server: ServerView, {chosen, pool}: {readonly chosen: Candidate; readonly pool: readonly Candidate[]}): string {
	if (server === chosen.server) {
		return 'chosen';
	}

	return pool.some(candidate => candidate.server === server) ? 'was busier, not drawn, or not the home of the prefix' : 'is in a zone that was passed over';
}

function addVerdict(considered: ServerVerdict[], server: ServerView, verdict: string): void {
	if (considered.length < maximumVerdicts || verdict === 'chosen') {
		considered.push({server: server.id, verdict});
	}
}
