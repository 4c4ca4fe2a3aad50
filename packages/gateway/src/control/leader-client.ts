import {
	type Clock, type Failure, failure, type InstanceId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {match} from 'ts-pattern';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';
import {EvidenceDelta} from '../rollouts/evidence-delta.js';
import {type VersionEvidence} from '../rollouts/version-evidence.js';
import {CommandFormats, currentCommandFormat} from './command-formats.js';
import {type ControlReplica} from './control-replica.js';
import {type GatewayCommandResult, type GatewayCommand} from './gateway-command.js';
import {
	type ConfirmReply, type PeerMessage, type ProposeReply,
} from './peer-message.js';

/** Options of the leader client. */
export type LeaderClientOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly metrics: GatewayMetrics;
	/** The local replica, or `undefined` while its disk is failing. */
	readonly replica: () => ControlReplica | undefined;
	/** The counters of entry instances that the leader needs; changed counters are sent with each request for the commit index. */
	readonly evidence: () => readonly VersionEvidence[];
	/** Sends a request to another instance; resolves to `undefined` if no reply arrives within the timeout in milliseconds. */
	readonly ask: (to: InstanceId, message: PeerMessage, timeout: number) => Promise<unknown>;
};

/** Slightly longer than a leader waits for its quorum, and shorter than the one-second timeout of callers. */
const proposeTimeoutMilliseconds = 950;
/** Long enough for two round trips between regions and a slow leader. */
const confirmTimeoutMilliseconds = 600;
const retryMilliseconds = 300;

/**
Sends requests to the leader of the group, which may be this instance.

@example
```ts
const leader = new LeaderClient(options);
const index = await leader.readIndex();
```
*/
export class LeaderClient {
	/** The commands that the other control instances can read. */
	readonly formats = new CommandFormats();
	readonly #options: LeaderClientOptions;
	#sentEvidence: {readonly leader: InstanceId; readonly delta: EvidenceDelta} | undefined;

	constructor(options: LeaderClientOptions) {
		this.#options = options;
	}

	/**
	Proposes a command to the leader, which may be this instance.

	@param command The command.
	@returns The result; the `outcome` of a `no-quorum` failure says whether the command may still be committed.
	*/
	async propose(command: GatewayCommand): Promise<Either<Failure, GatewayCommandResult>> {
		const {self, ask, metrics, replica} = this.#options;
		const leader = replica()?.leader;
		if (leader === undefined) {
			return Left(noLeaderFailure());
		}

		const refusal = this.#refuseUnreadable(command, [leader]);
		if (refusal !== undefined) {
			return Left(refusal);
		}

		const result = leader === self
			? await this.proposeLocally(command)
			: toResult(await ask(leader, {type: 'propose', command}, proposeTimeoutMilliseconds) as ProposeReply | undefined);
		metrics.commands.inc({type: command.type, result: result.isRight() ? 'committed' : 'failed'});
		return result;
	}

	/**
	Proposes a command to the local replica, which must be the leader.

	@param command The command.
	@returns The result.
	*/
	async proposeLocally(command: GatewayCommand): Promise<Either<Failure, GatewayCommandResult>> {
		const refusal = this.#refuseUnreadable(command, this.#options.replica()?.members ?? []);
		if (refusal !== undefined) {
			return Left(refusal);
		}

		return await this.#options.replica()?.propose(command) ?? Left(noLeaderFailure());
	}

	/**
	Handles a command that another control instance proposes to this one.

	@param command The command.
	@returns The reply to send.
	*/
	async handleProposal(command: GatewayCommand): Promise<ProposeReply> {
		const result = await this.proposeLocally(command);
		return result.caseOf<ProposeReply>({
			Left: failed => ({type: 'failure', failed}),
			Right: answer => ({type: 'answer', answer}),
		});
	}

	/** Requests the commit index at the time of the call; resolves to `undefined` if no leader could confirm it. */
	async readIndex(): Promise<number | undefined> {
		const {self, ask, replica} = this.#options;
		const leader = replica()?.leader;
		if (leader === undefined || leader === self) {
			return replica()?.readIndex();
		}

		const reply = await ask(leader, {type: 'confirm', evidence: this.#changedEvidence(leader), commandFormat: currentCommandFormat}, confirmTimeoutMilliseconds) as ConfirmReply | undefined;
		if (reply !== undefined) {
			this.formats.record(leader, reply.commandFormat);
		}

		return reply?.index;
	}

	/** Refuses a command that one of the instances would receive, directly or with the log, and could not read. */
	#refuseUnreadable({type}: GatewayCommand, instances: readonly InstanceId[]): Failure | undefined {
		const unable = this.formats.findUnable(type, instances);
		if (unable === undefined) {
			return undefined;
		}

		const message = `Control instance ${unable} runs a version that cannot read this command; update all control instances first`;
		return failure('no-quorum', message, {retryAfterMilliseconds: retryMilliseconds});
	}

	#changedEvidence(leader: InstanceId): readonly VersionEvidence[] {
		if (this.#sentEvidence?.leader !== leader) {
			this.#sentEvidence = {leader, delta: new EvidenceDelta()};
		}

		const {evidence, clock} = this.#options;
		return this.#sentEvidence.delta.takeChanged(evidence(), clock.monotonic());
	}
}

/**
Describes the result of a command for a log line.

@param result The result.
@returns A short description.
@example
```ts
describeResult(result); // 'current version 7'
```
*/
export function describeResult(result: Either<Failure, GatewayCommandResult>): string {
	return result.caseOf({
		Left: ({kind, message}) => `${kind}: ${message}`,
		Right: answer => match(answer)
			.with({type: 'configuration'}, ({version}) => `current version ${version}`)
			.with({type: 'rollout'}, ({rollout}) => `stage ${rollout.stage}`)
			.with({type: 'evacuation'}, ({evacuation}) => evacuation.isEvacuated ? 'evacuated' : 'not evacuated')
			.exhaustive(),
	});
}

function noLeaderFailure(): Failure {
	return failure('no-quorum', 'Cannot commit the command: no leader is known', {retryAfterMilliseconds: retryMilliseconds});
}

function toResult(reply: ProposeReply | undefined): Either<Failure, GatewayCommandResult> {
	if (reply === undefined) {
		return Left(failure('no-quorum', 'The leader did not reply in time; the command may or may not be committed', {outcome: 'unknown', retryAfterMilliseconds: retryMilliseconds}));
	}

	return reply.type === 'answer' ? Right(reply.answer) : Left(reply.failed);
}
