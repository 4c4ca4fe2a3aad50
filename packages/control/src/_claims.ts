import {
	type Failure, failure, type InstanceId, type RequestId, type WorkspaceId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type ClaimOutcome, type ClaimSettlement, type KeptAnswer} from './claim.js';
import {type SettleClaimCommand, type TakeClaimCommand} from './command.js';
import {type ControlLimits} from './control-limits.js';
import {type CommandContext} from './_command-context.js';
import {type IdempotencyKey} from './ids.js';
import {type LogTime} from './_log-time.js';

/** One claim as the state keeps it. */
export type Claim = Open | Settled;

type ClaimBase = {
	readonly requestDigest: string;
	readonly request: RequestId;
	/** The requests that released it lately, so that a late copy of their `take-claim` does not take it again. */
	readonly releasedBy?: readonly RequestId[];
};

/** Times are those of the log, in milliseconds. */
type Open = ClaimBase & {readonly instance: InstanceId; readonly takenAt: number; readonly settlement?: undefined};

/** Most claims are settled, so these hold no more than they must. */
type Settled = ClaimBase & {readonly settlement: ClaimSettlement; readonly settledAt: number};

type Settling = {
	readonly key: IdempotencyKey;
	readonly claim: Claim;
	readonly settlement: ClaimSettlement;
	readonly time: number;
};

/** The claims of one workspace; settled ones are in the order in which they were settled. */
type WorkspaceClaims = {
	readonly open: Map<IdempotencyKey, Open>;
	readonly settled: Map<IdempotencyKey, Settled>;
	/** Settled claims that keep a body, the oldest first. */
	readonly withBody: Set<IdempotencyKey>;
	bodyBytes: number;
};

/** The claims in a snapshot. */
export type ClaimsData = ReadonlyArray<readonly [WorkspaceId, {
	readonly open: ReadonlyArray<readonly [IdempotencyKey, Open]>;
	readonly settled: ReadonlyArray<readonly [IdempotencyKey, Settled]>;
}]>;

const mostReleasesRemembered = 8;
const mostSharedHeaders = 64;
/** Changes nothing that anyone sees: equal headers in one object. */
const sharedHeaders = new Map<string, KeptAnswer['headers']>();

/** The claims on idempotency keys of all workspaces. */
export class Claims {
	readonly #workspaces = new Map<WorkspaceId, WorkspaceClaims>();

	constructor(data: ClaimsData = []) {
		for (const [workspace, {open, settled}] of data) {
			const claims = this.#claimsOf(workspace);
			for (const [key, claim] of open) {
				claims.open.set(key, claim);
			}

			for (const [key, claim] of settled) {
				keep(claims, {key, claim: {...withOwnBody(claim), settlement: withSharedHeaders(withOwnBody(claim).settlement)}});
			}
		}
	}

	take(command: TakeClaimCommand, options: CommandContext): Either<Failure, ClaimOutcome> {
		const {workspace, key, request, requestDigest} = command;
		const claims = this.#claimsOf(workspace);
		const known = claims.open.get(key) ?? claims.settled.get(key);
		if (known !== undefined && known.requestDigest !== requestDigest) {
			return Right({type: 'key-reused', request: known.request});
		}

		if (known !== undefined && (known.settlement?.type !== 'released' || known.releasedBy?.includes(request) === true)) {
			return Right(outcomeFor(known, request));
		}

		return makeRoom(claims, {command, ...options}).map(() => {
			forget(claims, key);
			claims.open.set(key, {
				requestDigest, request, instance: command.instance, takenAt: options.time.latest, ...(known?.releasedBy && {releasedBy: known.releasedBy}),
			});
			return {type: 'taken', request};
		});
	}

	settle(command: SettleClaimCommand, {limits, time}: CommandContext): ClaimOutcome {
		const {workspace, key, request} = command;
		const claims = this.#claimsOf(workspace);
		const known = claims.open.get(key) ?? claims.settled.get(key);
		if (known === undefined) {
			return {type: 'expired'};
		}

		if (known.request !== request || (known.settlement !== undefined && known.settlement.type !== 'unknown')) {
			return outcomeFor(known, request);
		}

		settleClaim(claims, {
			key, claim: known, settlement: withoutLargeBody(command.settlement, limits), time: time.latest,
		});
		dropBodies(claims, limits);
		return outcomeFor(claims.settled.get(key) ?? known, request);
	}

	/** Turns the open claims of a lost instance to unknown. */
	instanceLost(instance: InstanceId, time: LogTime): void {
		this.#settleOpen({time, isOver: claim => claim.instance === instance});
	}

	expire({limits, time}: CommandContext): void {
		this.#settleOpen({time, isOver: claim => claim.takenAt + limits.claimOpenMilliseconds <= time.elapsed});
		for (const [workspace, claims] of this.#workspaces) {
			for (const [key, claim] of claims.settled) {
				if (claim.settledAt + limits.claimMilliseconds > time.elapsed) {
					break;
				}

				forget(claims, key);
			}

			if (claims.open.size + claims.settled.size === 0) {
				this.#workspaces.delete(workspace);
			}
		}
	}

	toData(): ClaimsData {
		return [...this.#workspaces].map(([workspace, {open, settled}]) => [workspace, {open: [...open], settled: [...settled]}] as const);
	}

	#settleOpen({time, isOver}: {readonly time: LogTime; readonly isOver: (claim: Open) => boolean}): void {
		for (const claims of this.#workspaces.values()) {
			for (const [key, claim] of claims.open) {
				if (isOver(claim)) {
					settleClaim(claims, {
						key, claim, settlement: {type: 'unknown'}, time: time.latest,
					});
				}
			}
		}
	}

	#claimsOf(workspace: WorkspaceId): WorkspaceClaims {
		const known = this.#workspaces.get(workspace);
		if (known !== undefined) {
			return known;
		}

		const claims: WorkspaceClaims = {
			open: new Map(), settled: new Map(), withBody: new Set(), bodyBytes: 0,
		};
		this.#workspaces.set(workspace, claims);
		return claims;
	}
}

function outcomeFor({settlement, request: owner}: Claim, asking: RequestId): ClaimOutcome {
	if (settlement === undefined) {
		return {type: owner === asking ? 'taken' : 'in-progress', request: owner};
	}

	return {...settlement, request: owner};
}

/** Makes room for one more claim, or tells when there will be. */
function makeRoom(claims: WorkspaceClaims, {command: {key, workspace}, limits, time}: CommandContext & {readonly command: TakeClaimCommand}): Either<Failure, undefined> {
	const now = time.elapsed;
	if (claims.settled.has(key) || claims.open.size + claims.settled.size < limits.claimsPerWorkspace) {
		return Right(undefined);
	}

	const [oldest] = claims.settled;
	const free = oldest === undefined ? now + limits.claimMinimumMilliseconds : oldest[1].settledAt + limits.claimMinimumMilliseconds;
	if (oldest === undefined || free > now) {
		const {claimsPerWorkspace, claimMinimumMilliseconds} = limits;
		const message = `Got ${claimsPerWorkspace} idempotency keys of workspace ${workspace} in ${claimMinimumMilliseconds} ms, wanted fewer`;
		return Left(failure('limit-reached', message, {retryAfterMilliseconds: free - now}));
	}

	forget(claims, oldest[0]);
	return Right(undefined);
}

function settleClaim(claims: WorkspaceClaims, {
	key, claim, settlement, time,
}: Settling): void {
	const {requestDigest, request} = claim;
	const releasedBy = settlement.type === 'released' ? [...claim.releasedBy ?? [], request].slice(-mostReleasesRemembered) : claim.releasedBy;
	forget(claims, key);
	keep(claims, {
		key, claim: {
			requestDigest, request, settlement: withSharedHeaders(settlement), settledAt: time, ...(releasedBy && {releasedBy}),
		},
	});
}

function keep(claims: WorkspaceClaims, {key, claim}: {readonly key: IdempotencyKey; readonly claim: Settled}): void {
	claims.settled.set(key, claim);
	const bytes = bodyOf(claim)?.byteLength;
	if (bytes !== undefined) {
		claims.withBody.add(key);
		claims.bodyBytes += bytes;
	}
}

function forget(claims: WorkspaceClaims, key: IdempotencyKey): void {
	const settled = claims.settled.get(key);
	claims.open.delete(key);
	claims.settled.delete(key);
	if (claims.withBody.delete(key)) {
		claims.bodyBytes -= bodyOf(settled)?.byteLength ?? 0;
	}
}

function bodyOf(claim: Claim | undefined): Uint8Array | undefined {
	return claim?.settlement?.type === 'done' ? claim.settlement.answer.body : undefined;
}

function dropBodies(claims: WorkspaceClaims, {keptAnswerBytesPerWorkspace}: ControlLimits): void {
	for (const key of claims.withBody) {
		if (claims.bodyBytes <= keptAnswerBytesPerWorkspace) {
			return;
		}

		const claim = claims.settled.get(key);
		claims.bodyBytes -= bodyOf(claim)?.byteLength ?? 0;
		claims.withBody.delete(key);
		if (claim?.settlement.type === 'done') {
			claims.settled.set(key, {...claim, settlement: {type: 'done', answer: withoutBody(claim.settlement.answer)}});
		}
	}
}

function withoutBody({status, headers, digest, bytes}: KeptAnswer): KeptAnswer {
	return {
		status, headers, digest, bytes,
	};
}

function withoutLargeBody(settlement: ClaimSettlement, {keptAnswerBytes}: ControlLimits): ClaimSettlement {
	if (settlement.type !== 'done') {
		return settlement;
	}

	const {answer} = settlement;
	if (answer.body === undefined || answer.body.byteLength > keptAnswerBytes) {
		return {type: 'done', answer: withoutBody(answer)};
	}

	return {type: 'done', answer: {...answer, body: new Uint8Array(answer.body)}};
}

/** Answers mostly have the same few headers; one object of each kind is kept. */
function withSharedHeaders(settlement: ClaimSettlement): ClaimSettlement {
	if (settlement.type !== 'done') {
		return settlement;
	}

	const {headers} = settlement.answer;
	const text = JSON.stringify(headers);
	const shared = sharedHeaders.get(text) ?? headers;
	if (sharedHeaders.size < mostSharedHeaders) {
		sharedHeaders.set(text, shared);
	}

	return {type: 'done', answer: {...settlement.answer, headers: shared}};
}

/** Copies the body, which would else keep the whole snapshot in memory. */
function withOwnBody(claim: Settled): Settled {
	const {settlement} = claim;
	if (settlement.type !== 'done' || settlement.answer.body === undefined) {
		return claim;
	}

	return {...claim, settlement: {type: 'done', answer: {...settlement.answer, body: new Uint8Array(settlement.answer.body)}}};
}
