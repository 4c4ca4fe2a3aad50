import {
	type Failure, failure, type InstanceId, type RequestId, type WorkspaceId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type ClaimOutcome, type ClaimSettlement, type StoredResponse} from './claim.js';
import {type SettleClaimCommand, type TakeClaimCommand} from './command.js';
import {type ControlLimits} from './control-limits.js';
import {type CommandContext} from './_command-context.js';
import {type IdempotencyKey} from './ids.js';
import {type ReplicatedClock} from './_replicated-clock.js';

/** A claim on an idempotency key. */
export type Claim = OpenClaim | SettledClaim;

type ClaimBase = {
	readonly requestDigest: string;
	readonly request: RequestId;
	/** The latest requests that released the claim, so that a delayed duplicate of their `take-claim` does not take it again. */
	readonly releasedBy?: readonly RequestId[];
};

/** A claim whose request is in progress. Times are milliseconds of the replicated clock. */
type OpenClaim = ClaimBase & {readonly instance: InstanceId; readonly takenAt: number; readonly settlement?: undefined};

/** A settled claim. Most claims are settled, so the type holds only the members that are still needed. */
type SettledClaim = ClaimBase & {readonly settlement: ClaimSettlement; readonly settledAt: number};

type SettleClaimOptions = {
	readonly key: IdempotencyKey;
	readonly claim: Claim;
	readonly settlement: ClaimSettlement;
	readonly time: number;
};

/** The claims of one workspace. `settled` is in the order of settlement. */
type WorkspaceClaims = {
	readonly open: Map<IdempotencyKey, OpenClaim>;
	readonly settled: Map<IdempotencyKey, SettledClaim>;
	/** The settled claims with a stored response body, oldest first. */
	readonly keysWithBody: Set<IdempotencyKey>;
	bodyBytes: number;
};

/** The snapshot form of `Claims`. */
export type ClaimsData = ReadonlyArray<readonly [WorkspaceId, {
	readonly open: ReadonlyArray<readonly [IdempotencyKey, OpenClaim]>;
	readonly settled: ReadonlyArray<readonly [IdempotencyKey, SettledClaim]>;
}]>;

const maximumReleasedBy = 8;
const maximumInternedHeaders = 64;
/** Equal header objects share one instance to save memory. Sharing is not observable. */
const internedHeaders = new Map<string, StoredResponse['headers']>();

/** The claims on idempotency keys, by workspace. */
export class Claims {
	readonly #workspaces = new Map<WorkspaceId, WorkspaceClaims>();

	constructor(data: ClaimsData = []) {
		for (const [workspace, {open, settled}] of data) {
			const claims = this.#getOrCreate(workspace);
			for (const [key, claim] of open) {
				claims.open.set(key, claim);
			}

			for (const [key, claim] of settled) {
				insertSettled(claims, {key, claim: {...copyBody(claim), settlement: internHeaders(copyBody(claim).settlement)}});
			}
		}
	}

	take(command: TakeClaimCommand, options: CommandContext): Either<Failure, ClaimOutcome> {
		const {workspace, key, request, requestDigest} = command;
		const claims = this.#getOrCreate(workspace);
		const existing = claims.open.get(key) ?? claims.settled.get(key);
		if (existing !== undefined && existing.requestDigest !== requestDigest) {
			return Right({type: 'key-reused', request: existing.request});
		}

		if (existing !== undefined && (existing.settlement?.type !== 'released' || existing.releasedBy?.includes(request) === true)) {
			return Right(outcomeFor(existing, request));
		}

		return ensureCapacity(claims, {command, ...options}).map(() => {
			deleteClaim(claims, key);
			claims.open.set(key, {
				requestDigest, request, instance: command.instance, takenAt: options.clock.upperBound, ...(existing?.releasedBy && {releasedBy: existing.releasedBy}),
			});
			return {type: 'taken', request};
		});
	}

	settle(command: SettleClaimCommand, {limits, clock}: CommandContext): ClaimOutcome {
		const {workspace, key, request} = command;
		const claims = this.#getOrCreate(workspace);
		const existing = claims.open.get(key) ?? claims.settled.get(key);
		if (existing === undefined) {
			return {type: 'expired'};
		}

		if (existing.request !== request || (existing.settlement !== undefined && existing.settlement.type !== 'unknown')) {
			return outcomeFor(existing, request);
		}

		settleClaim(claims, {
			key, claim: existing, settlement: limitBody(command.settlement, limits), time: clock.upperBound,
		});
		evictBodies(claims, limits);
		return outcomeFor(claims.settled.get(key) ?? existing, request);
	}

	/** Settles the open claims of a lost instance as unknown. */
	handleInstanceLost(instance: InstanceId, clock: ReplicatedClock): void {
		this.#settleOpenAsUnknown({clock, isAffected: claim => claim.instance === instance});
	}

	expire({limits, clock}: CommandContext): void {
		this.#settleOpenAsUnknown({clock, isAffected: claim => claim.takenAt + limits.claimOpenMilliseconds <= clock.elapsed});
		for (const [workspace, claims] of this.#workspaces) {
			for (const [key, claim] of claims.settled) {
				if (claim.settledAt + limits.claimMilliseconds > clock.elapsed) {
					break;
				}

				deleteClaim(claims, key);
			}

			if (claims.open.size + claims.settled.size === 0) {
				this.#workspaces.delete(workspace);
			}
		}
	}

	toData(): ClaimsData {
		return [...this.#workspaces].map(([workspace, {open, settled}]) => [workspace, {open: [...open], settled: [...settled]}] as const);
	}

	#settleOpenAsUnknown({clock, isAffected}: {readonly clock: ReplicatedClock; readonly isAffected: (claim: OpenClaim) => boolean}): void {
		for (const claims of this.#workspaces.values()) {
			for (const [key, claim] of claims.open) {
				if (isAffected(claim)) {
					settleClaim(claims, {
						key, claim, settlement: {type: 'unknown'}, time: clock.upperBound,
					});
				}
			}
		}
	}

	#getOrCreate(workspace: WorkspaceId): WorkspaceClaims {
		const existing = this.#workspaces.get(workspace);
		if (existing !== undefined) {
			return existing;
		}

		const claims: WorkspaceClaims = {
			open: new Map(), settled: new Map(), keysWithBody: new Set(), bodyBytes: 0,
		};
		this.#workspaces.set(workspace, claims);
		return claims;
	}
}

function outcomeFor({settlement, request: owner}: Claim, requester: RequestId): ClaimOutcome {
	if (settlement === undefined) {
		return {type: owner === requester ? 'taken' : 'in-progress', request: owner};
	}

	return {...settlement, request: owner};
}

/** Makes room for one more claim by deleting the oldest settled one, or fails with the time until one may be deleted. */
function ensureCapacity(claims: WorkspaceClaims, {command: {key, workspace}, limits, clock}: CommandContext & {readonly command: TakeClaimCommand}): Either<Failure, undefined> {
	const now = clock.elapsed;
	if (claims.settled.has(key) || claims.open.size + claims.settled.size < limits.claimsPerWorkspace) {
		return Right(undefined);
	}

	const [oldest] = claims.settled;
	const freeAt = oldest === undefined ? now + limits.claimMinimumMilliseconds : oldest[1].settledAt + limits.claimMinimumMilliseconds;
	if (oldest === undefined || freeAt > now) {
		const {claimsPerWorkspace, claimMinimumMilliseconds} = limits;
		const message = `Workspace ${workspace} has reached its limit of ${claimsPerWorkspace} idempotency keys, each kept for at least ${claimMinimumMilliseconds} ms`;
		return Left(failure('limit-reached', message, {retryAfterMilliseconds: freeAt - now}));
	}

	deleteClaim(claims, oldest[0]);
	return Right(undefined);
}

function settleClaim(claims: WorkspaceClaims, {
	key, claim, settlement, time,
}: SettleClaimOptions): void {
	const {requestDigest, request} = claim;
	const releasedBy = settlement.type === 'released' ? [...claim.releasedBy ?? [], request].slice(-maximumReleasedBy) : claim.releasedBy;
	deleteClaim(claims, key);
	insertSettled(claims, {
		key, claim: {
			requestDigest, request, settlement: internHeaders(settlement), settledAt: time, ...(releasedBy && {releasedBy}),
		},
	});
}

function insertSettled(claims: WorkspaceClaims, {key, claim}: {readonly key: IdempotencyKey; readonly claim: SettledClaim}): void {
	claims.settled.set(key, claim);
	const bytes = bodyOf(claim)?.byteLength;
	if (bytes !== undefined) {
		claims.keysWithBody.add(key);
		claims.bodyBytes += bytes;
	}
}

function deleteClaim(claims: WorkspaceClaims, key: IdempotencyKey): void {
	const settled = claims.settled.get(key);
	claims.open.delete(key);
	claims.settled.delete(key);
	if (claims.keysWithBody.delete(key)) {
		claims.bodyBytes -= bodyOf(settled)?.byteLength ?? 0;
	}
}

function bodyOf(claim: Claim | undefined): Uint8Array | undefined {
	return claim?.settlement?.type === 'done' ? claim.settlement.answer.body : undefined;
}

function evictBodies(claims: WorkspaceClaims, {keptAnswerBytesPerWorkspace}: ControlLimits): void {
	for (const key of claims.keysWithBody) {
		if (claims.bodyBytes <= keptAnswerBytesPerWorkspace) {
			return;
		}

		const claim = claims.settled.get(key);
		claims.bodyBytes -= bodyOf(claim)?.byteLength ?? 0;
		claims.keysWithBody.delete(key);
		if (claim?.settlement.type === 'done') {
			claims.settled.set(key, {...claim, settlement: {type: 'done', answer: withoutBody(claim.settlement.answer)}});
		}
	}
}

function withoutBody({status, headers, digest, bytes}: StoredResponse): StoredResponse {
	return {
		status, headers, digest, bytes,
	};
}

function limitBody(settlement: ClaimSettlement, {keptAnswerBytes}: ControlLimits): ClaimSettlement {
	if (settlement.type !== 'done') {
		return settlement;
	}

	const {answer} = settlement;
	if (answer.body === undefined || answer.body.byteLength > keptAnswerBytes) {
		return {type: 'done', answer: withoutBody(answer)};
	}

	return {type: 'done', answer: {...answer, body: new Uint8Array(answer.body)}};
}

/** Replaces the headers with a shared equal object: most responses have one of a few sets of headers. */
function internHeaders(settlement: ClaimSettlement): ClaimSettlement {
	if (settlement.type !== 'done') {
		return settlement;
	}

	const {headers} = settlement.answer;
	const cacheKey = JSON.stringify(headers);
	const shared = internedHeaders.get(cacheKey) ?? headers;
	if (internedHeaders.size < maximumInternedHeaders) {
		internedHeaders.set(cacheKey, shared);
	}

	return {type: 'done', answer: {...settlement.answer, headers: shared}};
}

/** Copies the body: as a view of the snapshot's buffer it would keep the whole snapshot in memory. */
function copyBody(claim: SettledClaim): SettledClaim {
	const {settlement} = claim;
	if (settlement.type !== 'done' || settlement.answer.body === undefined) {
		return claim;
	}

	return {...claim, settlement: {type: 'done', answer: {...settlement.answer, body: new Uint8Array(settlement.answer.body)}}};
}
