import {
	type Failure, failure, type RandomSource, type ServerId, type ZoneId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type HomeScope} from './choose-home-scope.js';
import {type ServerVerdict} from './decision-ring.js';
import {rendezvousScore} from './rendezvous-score.js';
import {
	othersOn, serverLoad, type ServerLoadOptions, startedCapacity,
} from './server-load.js';
import {type ServerView} from './server-view.js';

/** What is wanted of a server. */
export type ServerWish = {
	/** The version, as `versionKey` names it, or the service. */
	readonly target: string;
	readonly excluded: ReadonlySet<ServerId>;
	/** The hash of the prompt's prefix; undefined where no cache matters. */
	readonly prefix?: number | undefined;
	/** The share of this instance's requests that have the prefix, from 0 to 1; 0 by default. */
	readonly prefixShare?: number;
	/** Among which servers the prefix has its home; `zone` by default: those that work would go to without it. */
	readonly homeScope?: HomeScope;
};

/** How a server is chosen. */
export type ServerChoiceOptions = ServerLoadOptions & {
	/** The zone of this instance. */
	readonly zone: ZoneId;
	readonly random: RandomSource;
	/** How much busier, as a share of capacity, the own zone must be before another helps; 0.5 by default. */
	readonly zonePenalty?: number;
	/** How far above the mean load the home of a prefix may be; 1.25 by default. */
	readonly loadBound?: number;
	/** How many servers are compared where no prefix decides; 2 by default. */
	readonly samples?: number;
};

/** The chosen server and some of those that lost. */
export type ServerChoice = {
	readonly server: ServerId;
	readonly considered: readonly ServerVerdict[];
};

type Candidate = {
	readonly server: ServerView;
	readonly load: number;
	readonly capacity: number;
};

type Scored = {
	readonly candidate: Candidate;
	readonly score: number;
};

const maximumConsidered = 8;
const retryAfterMilliseconds = 1000;
/** Keeps a product of fractions from being rounded up to the next whole request. */
const rounding = 1e-9;

/**
Chooses a server: a home of the prompt's prefix while its load is bounded, else the less busy of a few taken at random.

The bound is that of consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018); a few at random in place of the best of all keeps the instances that share an old report from all choosing the same server (Mitzenmacher, 2000).

@param servers All the servers.
@param options What is wanted, and how a server is chosen.
@returns The choice, or `no-server`.
@example
```ts
chooseServer(views, {target: 'tag-small@1.0', excluded: new Set(), zone, random});
```
*/
export function chooseServer(servers: readonly ServerView[], options: ServerWish & ServerChoiceOptions): Either<Failure, ServerChoice> {
	const considered: ServerVerdict[] = [];
	const views: ServerView[] = [];
	for (const server of servers) {
		const reason = ineligibility(server, options);
		if (reason === undefined) {
			views.push(server);
		} else if (reason !== notLoaded) {
			consider(considered, server, reason);
		}
	}

	const meanOthers = meanOthersOn(views);
	const eligible = views.map(server => ({
		server, load: serverLoad(server, {meanOthers, ...options}), capacity: startedCapacity(server, options),
	}));
	const pool = poolOf(eligible, options);
	if (pool.length === 0) {
		const reasons = considered.map(({server, verdict}) => `${server} ${verdict}`).join('; ');
		return Left(failure('no-server', `Got no server for ${options.target}, wanted one that takes work (${reasons || 'none has it'})`, {retryAfterMilliseconds}));
	}

	const chosen = homeOf(options.homeScope === 'all' ? eligible : pool, options) ?? lessBusy(pool, options);
	for (const {server} of eligible) {
		consider(considered, server, verdictOn(server, {chosen, pool}));
	}

	return Right({server: chosen.server.id, considered});
}

/** The own zone, unless it is empty or so busy that the other zones help. */
function poolOf(eligible: readonly Candidate[], {zone, zonePenalty = 0.5}: ServerChoiceOptions): readonly Candidate[] {
	const own = eligible.filter(({server}) => server.zone === zone);
	if (own.length === 0 || own.length === eligible.length) {
		return eligible;
	}

	const others = eligible.filter(({server}) => server.zone !== zone);
	return utilisation(own) > utilisation(others) + zonePenalty ? others : own;
}

/** The less busy of the prefix's homes, among those whose load is within the bound. */
function homeOf(pool: readonly Candidate[], options: ServerWish & ServerChoiceOptions): Candidate | undefined {
	const {prefix, prefixShare = 0, loadBound = 1.25, homeScope = 'zone'} = options;
	if (prefix === undefined || homeScope === 'none') {
		return undefined;
	}

	const bound = loadBound * utilisation(pool, 1);
	const scored: Scored[] = [];
	for (const candidate of pool) {
		const {load, capacity, server} = candidate;
		if (load + 1 <= Math.max(1, Math.ceil((bound * capacity) - rounding))) {
			scored.push({candidate, score: rendezvousScore(prefix, {server: server.id, capacity})});
		}
	}

	// No home gets more than its share of the requests times the bound, though all instances choose alike.
	const homes = Math.max(1, Math.ceil(prefixShare * pool.length / loadBound));
	const chosen = scored.toSorted((one, other) => other.score - one.score).slice(0, homes).map(({candidate}) => candidate);
	return chosen.length === 0 ? undefined : lessBusy(chosen, options);
}

function lessBusy(pool: readonly Candidate[], {random, samples = 2}: ServerChoiceOptions): Candidate {
	let best = sample(pool, random);
	for (let taken = 1; taken < samples; taken++) {
		const other = sample(pool, random);
		if (busyness(other) < busyness(best)) {
			best = other;
		}
	}

	return best;
}

/** Takes one at random, the larger ones more often. */
function sample(pool: readonly Candidate[], random: RandomSource): Candidate {
	let left = random() * sumOfCapacity(pool);
	for (const candidate of pool) {
		left -= candidate.capacity;
		if (left < 0) {
			return candidate;
		}
	}

	return pool.at(-1)!;
}

function busyness({load, capacity}: Candidate): number {
	return (load + 1) / capacity;
}

function utilisation(candidates: readonly Candidate[], further = 0): number {
	let load = further;
	for (const candidate of candidates) {
		load += candidate.load;
	}

	return load / sumOfCapacity(candidates);
}

function meanOthersOn(servers: readonly ServerView[]): number {
	let others = 0;
	let capacity = 0;
	for (const server of servers) {
		others += othersOn(server);
		capacity += server.capacity;
	}

	return capacity === 0 ? 0 : others / capacity;
}

function sumOfCapacity(candidates: readonly Candidate[]): number {
	let sum = 0;
	for (const {capacity} of candidates) {
		sum += capacity;
	}

	return sum;
}

const notLoaded = 'does not have it loaded';

function ineligibility(server: ServerView, {target, excluded}: ServerWish): string | undefined {
	if (!server.loaded.has(target)) {
		return notLoaded;
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

function verdictOn(server: ServerView, {chosen, pool}: {readonly chosen: Candidate; readonly pool: readonly Candidate[]}): string {
	if (server === chosen.server) {
		return 'chosen';
	}

	return pool.some(candidate => candidate.server === server) ? 'was busier, not drawn, or not the home of the prefix' : 'is in a zone that was passed over';
}

function consider(considered: ServerVerdict[], server: ServerView, verdict: string): void {
	if (considered.length < maximumConsidered || verdict === 'chosen') {
		considered.push({server: server.id, verdict});
	}
}
