import {
	type AdvanceRolloutCommand, type ApplyConfigurationCommand, type Command, type CommandResult, type CompleteOrderCommand,
	type ControlLimits, defaultControlLimits, type IssueOrderCommand, type SettleClaimCommand, type StopVersionCommand, type TakeClaimCommand,
} from '@valehitch/control';
import {
	type Bill, type ModelId, toId, type VersionId, type VersionState,
} from '@valehitch/core';
import {match} from 'ts-pattern';

/** Limits small enough for a short run to reach; the oracle repeats their values as literals. */
export const oracleLimits: ControlLimits = {
	...defaultControlLimits,
	changeIds: 4,
	claimsPerWorkspace: 3,
	claimMilliseconds: 200_000,
	claimMinimumMilliseconds: 50_000,
	claimOpenMilliseconds: 300_000,
	keptAnswerBytes: 8,
	keptAnswerBytesPerWorkspace: 12,
	recentBills: 2,
	billWindow: 4,
	originMilliseconds: 250_000,
	openOrdersPerServer: 2,
};
/** The only model of the oracle's documents. */
export const oracleModel = toId<ModelId>('m');

/** The state of a version in a document. */
export type ListedState = VersionState | 'absent';
type Progress = {status: string; stage: number};
type OracleClaim = {
	workspace: string; key: string; digest: string; owner: string; instance: string; takenAt: number;
	state: string; settledAt: number; order: number; size: number; hasBody: boolean; releasedBy: string[];
};
/** A run of an instance that settles bills. */
type OracleRun = {instance: string; startedAt: number; heardAt: number; isForgotten: boolean};
type OracleOrder = {id: string; server: string; role: string; index: number; outcome: string};
/** The compared part of a command's result: the error kind, or some members of the answer. */
export type ResultSummary = Readonly<Record<string, unknown>>;

/** A reference model of the replicated state, made of plain lists that are not optimized for size. */
export class ControlOracle {
	revision = 0;
	listed: Record<string, ListedState> = {};
	progress: Record<string, Progress | undefined> = {};
	remembered: Array<{id: string; digest: string; verdict: ResultSummary}> = [];
	claims: OracleClaim[] = [];
	orders: OracleOrder[] = [];
	readonly billed = new Set<string>();
	#settlements = 0;
	readonly #runs: OracleRun[] = [];
	#elapsed = 0;
	#readAt: number | undefined;

	/** Whether the ledger must refuse a bill because its run has expired. */
	isRefused({instance, origin}: Bill): boolean {
		if (origin === undefined) {
			return false;
		}

		const {startedAt} = origin;
		const existing = this.#runs.find(run => run.instance === instance && run.startedAt === startedAt);
		if (existing === undefined) {
			this.#runs.push({
				instance, startedAt, heardAt: this.#elapsed, isForgotten: false,
			});
			return false;
		}

		existing.heardAt = this.#elapsed;
		return existing.isForgotten;
	}

	apply(command: Command, index: number): ResultSummary | undefined {
		return match(command)
			.with({type: 'apply-configuration'}, found => this.#applyConfiguration(found))
			.with({type: 'advance-rollout'}, found => this.#advanceRollout(found))
			.with({type: 'stop-version'}, found => this.#stopVersion(found))
			.with({type: 'take-claim'}, found => this.#takeClaim(found))
			.with({type: 'settle-claim'}, found => this.#settleClaim(found))
			.with({type: 'instance-lost'}, ({instance}) => this.#markUnknown(claim => claim.instance === instance))
			.with({type: 'expire'}, ({at}) => this.#expire(at))
			.with({type: 'issue-order'}, found => this.#issueOrder(found, index))
			.with({type: 'complete-order'}, found => this.#completeOrder(found))
			.with({type: 'record-bills'}, {type: 'set-limits'}, () => undefined)
			.exhaustive();
	}

	#advanceRollout(command: AdvanceRolloutCommand): ResultSummary {
		const progress = this.progress[command.version];
		if (progress?.status !== 'running' || progress.stage !== command.fromStage) {
			return {kind: progress === undefined ? 'not-found' : 'revision-conflict'};
		}

		this.revision++;
		this.progress[command.version] = progress.stage === 1 ? {status: 'completed', stage: 1} : {status: 'running', stage: 1};
		this.listed[command.version] = progress.stage === 1 ? 'settled' : 'rolling-out';
		return {revision: this.revision};
	}

	#stopVersion({version}: StopVersionCommand): ResultSummary {
		if (['absent', 'withdrawn'].includes(this.listed[version] ?? 'absent')) {
			return {kind: 'not-found'};
		}

		this.revision += this.progress[version]?.status === 'stopped' ? 0 : 1;
		this.progress[version] = {status: 'stopped', stage: this.progress[version]?.stage ?? 0};
		return {revision: this.revision};
	}

	#expire(at: number): ResultSummary {
		this.#elapsed += Math.min(Math.max(0, at - (this.#readAt ?? at)), 20_000);
		this.#readAt = at;
		for (const run of this.#runs) {
			run.isForgotten ||= run.heardAt < this.#elapsed - 250_000;
		}

		this.#markUnknown(claim => claim.takenAt + 300_000 <= this.#elapsed);
		this.claims = this.claims.filter(claim => claim.state === 'open' || claim.settledAt + 200_000 > this.#elapsed);
		return {revision: this.revision};
	}

	#issueOrder(command: IssueOrderCommand, index: number): ResultSummary {
		const existing = this.orders.find(({id}) => id === command.orderId);
		const role = command.order.type === 'set-role' ? command.order.role : '';
		if (existing !== undefined) {
			return existing.server === command.server && existing.role === role ? {sequence: existing.index, outcome: existing.outcome} : {kind: 'change-id-reused'};
		}

		if (this.orders.filter(({server, outcome}) => server === command.server && outcome === 'open').length === 2) {
			return {kind: 'limit-reached'};
		}

		this.orders.push({
			id: command.orderId, server: command.server, role, index, outcome: 'open',
		});
		return {sequence: index, outcome: 'open'};
	}

	#completeOrder(command: CompleteOrderCommand): ResultSummary {
		const existing = this.orders.find(({id, index: issued}) => id === command.orderId && issued === command.fencing.sequence);
		if (existing === undefined) {
			return {kind: 'not-found'};
		}

		existing.outcome = existing.outcome === 'open' ? command.outcome : existing.outcome;
		return {sequence: existing.index, outcome: existing.outcome};
	}

	#applyConfiguration({changeId, digest, expectedRevision, document}: ApplyConfigurationCommand): ResultSummary {
		const earlier = this.remembered.find(({id}) => id === changeId);
		if (earlier !== undefined) {
			return earlier.digest === digest ? earlier.verdict : {kind: 'change-id-reused'};
		}

		const isCurrent = expectedRevision === this.revision;
		const verdict = isCurrent ? {revision: ++this.revision} : {kind: 'revision-conflict', currentRevision: this.revision};
		for (const version of isCurrent ? ['a', 'b'] : []) {
			const wanted: ListedState = document.models[oracleModel]?.versions[version as VersionId]?.state ?? 'absent';
			const before = this.progress[version];
			const isOver = before?.status === 'stopped' || before?.status === 'completed';
			const following = wanted === 'settled' ? before && {...before, status: 'completed'} : before ?? {status: 'running', stage: 0};
			this.progress[version] = ['absent', 'withdrawn'].includes(wanted) ? undefined : (isOver ? before : following);
			this.listed[version] = wanted === 'rolling-out' && this.progress[version]?.status === 'completed' ? 'settled' : wanted;
		}

		this.remembered = [...this.remembered, {id: changeId, digest, verdict}].slice(-4);
		return verdict;
	}

	#takeClaim({workspace, key, requestDigest, request, instance}: TakeClaimCommand): ResultSummary {
		const existing = this.#findClaim(workspace, key);
		if (existing !== undefined && existing.digest !== requestDigest) {
			return {claim: 'key-reused'};
		}

		if (existing !== undefined && (existing.state !== 'released' || existing.releasedBy.includes(request))) {
			return claimResult(existing, request);
		}

		const others = this.claims.filter(claim => claim.workspace === workspace);
		if (existing === undefined && others.length === 3) {
			const oldest = others.filter(({state}) => state !== 'open').toSorted((left, right) => left.order - right.order)[0];
			if (oldest === undefined || oldest.settledAt + 50_000 > this.#elapsed) {
				return {kind: 'limit-reached'};
			}

			this.claims = this.claims.filter(claim => claim !== oldest);
		}

		this.claims = [...this.claims.filter(claim => claim !== existing), {
			workspace,
			key,
			digest: requestDigest,
			owner: request,
			instance,
			takenAt: this.#elapsed + 10_000,
			state: 'open',
			settledAt: 0,
			order: 0,
			size: 0,
			hasBody: false,
			releasedBy: existing?.releasedBy ?? [],
		}];
		return {claim: 'taken'};
	}

	#settleClaim({workspace, key, request, settlement}: SettleClaimCommand): ResultSummary {
		const existing = this.#findClaim(workspace, key);
		if (existing === undefined) {
			return {claim: 'expired'};
		}

		if (existing.owner === request && ['open', 'unknown'].includes(existing.state)) {
			existing.size = settlement.type === 'done' ? settlement.answer.bytes : 0;
			existing.hasBody = existing.size > 0 && existing.size <= 8;
			existing.releasedBy = settlement.type === 'released' ? [...existing.releasedBy, request] : existing.releasedBy;
			this.#closeClaim(existing, settlement.type);
			this.#evictBodies(workspace);
		}

		return claimResult(existing, request);
	}

	#evictBodies(workspace: string): void {
		const kept = this.claims.filter(claim => claim.workspace === workspace && claim.hasBody).toSorted((left, right) => right.order - left.order);
		let bytes = 0;
		for (const claim of kept) {
			bytes += claim.size;
			claim.hasBody = bytes <= 12;
		}
	}

	#markUnknown(hasEnded: (claim: OracleClaim) => boolean): ResultSummary {
		for (const claim of this.claims) {
			if (claim.state === 'open' && hasEnded(claim)) {
				this.#closeClaim(claim, 'unknown');
			}
		}

		return {revision: this.revision};
	}

	/** Closes a claim. Its age counts from the next clock reading, so that it never expires too early. */
	#closeClaim(claim: OracleClaim, state: string): void {
		claim.state = state;
		claim.settledAt = this.#elapsed + 10_000;
		claim.order = ++this.#settlements;
	}

	#findClaim(workspace: string, key: string): OracleClaim | undefined {
		return this.claims.find(claim => claim.workspace === workspace && claim.key === key);
	}
}

function claimResult({state, owner, hasBody}: OracleClaim, asking: string): ResultSummary {
	const open = owner === asking ? 'taken' : 'in-progress';
	return {claim: state === 'open' ? open : state, ...(state === 'done' && {hasBody})};
}

/** Extracts the members of a command's result that are compared with the oracle. */
export function summarizeResult(result: CommandResult): ResultSummary {
	return result.caseOf<ResultSummary>({
		Left: ({kind, details}) => ({kind, ...(details?.currentRevision !== undefined && {currentRevision: details.currentRevision})}),
		Right(answer) {
			if ('claim' in answer) {
				return {claim: answer.claim.type, ...(answer.claim.type === 'done' && {hasBody: answer.claim.answer.body !== undefined})};
			}

			return 'order' in answer ? {sequence: answer.order.fencing.sequence, outcome: answer.order.outcome} : {revision: answer.revision};
		},
	});
}

