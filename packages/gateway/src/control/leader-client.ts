import {
	type Clock, type Failure, failure, type InstanceId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';
import {EvidenceDelta} from '../rollouts/evidence-delta.js';
import {type VersionEvidence} from '../rollouts/version-evidence.js';
import {type ControlGroup} from './control-group.js';
import {type GatewayAnswer, type GatewayCommand} from './gateway-command.js';
import {
	type ConfirmReply, type PeerMessage, type ProposeReply,
} from './peer-message.js';

/** What the calls to the leader need. */
export type LeaderClientOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly metrics: GatewayMetrics;
	/** The own replica; undefined while its disk fails. */
	readonly group: () => ControlGroup | undefined;
	/** What the leader needs of entry instances' counters; what changed goes with each question about the newest index. */
	readonly evidence: () => readonly VersionEvidence[];
	/** Asks another instance; undefined where no reply came within the timeout in milliseconds. */
	readonly ask: (to: InstanceId, message: PeerMessage, timeout: number) => Promise<unknown>;
};

/** A little longer than a leader waits for its quorum, and less than the second that callers wait. */
const proposeTimeoutMilliseconds = 950;
/** Two round trips between regions and a slow leader fit in it. */
const confirmTimeoutMilliseconds = 600;
const retryMilliseconds = 300;

/**
Reaches the leader of the group, which may be this instance.

@example
```ts
const leader = new LeaderClient(options);
const index = await leader.newestIndex();
```
*/
export class LeaderClient {
	readonly #options: LeaderClientOptions;
	#told: {readonly leader: InstanceId; readonly delta: EvidenceDelta} | undefined;

	constructor(options: LeaderClientOptions) {
		this.#options = options;
	}

	/**
	Has a command committed, here or by the leader.

	@param command The command.
	@returns What it gave; a failure `no-quorum` says with its outcome whether it may still be committed.
	*/
	async propose(command: GatewayCommand): Promise<Either<Failure, GatewayAnswer>> {
		const {self, ask, metrics, group} = this.#options;
		const leader = group()?.leader;
		if (leader === undefined) {
			return Left(noLeader());
		}

		const result = leader === self
			? await this.proposeHere(command)
			: fromReply(await ask(leader, {type: 'propose', command}, proposeTimeoutMilliseconds) as ProposeReply | undefined);
		metrics.commands.inc({type: command.type, result: result.isRight() ? 'committed' : 'failed'});
		return result;
	}

	/**
	Has a command committed where this instance leads.

	@param command The command.
	@returns What it gave.
	*/
	async proposeHere(command: GatewayCommand): Promise<Either<Failure, GatewayAnswer>> {
		return await this.#options.group()?.propose(command) ?? Left(noLeader());
	}

	/**
	Answers another control instance that proposes here.

	@param command The command.
	@returns The reply for the link.
	*/
	async replyTo(command: GatewayCommand): Promise<ProposeReply> {
		const result = await this.proposeHere(command);
		return result.caseOf<ProposeReply>({
			Left: failed => ({type: 'failure', failed}),
			Right: answer => ({type: 'answer', answer}),
		});
	}

	/** The newest committed index at the time of the call; undefined where no leader could be sure of it. */
	async newestIndex(): Promise<number | undefined> {
		const {self, ask, group} = this.#options;
		const leader = group()?.leader;
		if (leader === undefined || leader === self) {
			return group()?.confirmedIndex();
		}

		const reply = await ask(leader, {type: 'confirm', evidence: this.#newEvidence(leader)}, confirmTimeoutMilliseconds) as ConfirmReply | undefined;
		return reply?.index;
	}

	#newEvidence(leader: InstanceId): readonly VersionEvidence[] {
		if (this.#told?.leader !== leader) {
			this.#told = {leader, delta: new EvidenceDelta()};
		}

		const {evidence, clock} = this.#options;
		return this.#told.delta.next(evidence(), clock.monotonic());
	}
}

/**
Says in a log line what a command gave.

@param result The result.
@returns A few words.
@example
```ts
describeResult(result); // 'held version 7'
```
*/
export function describeResult(result: Either<Failure, GatewayAnswer>): string {
	return result.caseOf({
		Left: ({kind, message}) => `${kind}: ${message}`,
		Right: answer => answer.type === 'configuration' ? `held version ${answer.version}` : `stage ${answer.rollout.stage}`,
	});
}

function noLeader(): Failure {
	return failure('no-quorum', 'Got no leader, wanted one to commit the command', {retryAfterMilliseconds: retryMilliseconds});
}

function fromReply(reply: ProposeReply | undefined): Either<Failure, GatewayAnswer> {
	if (reply === undefined) {
		return Left(failure('no-quorum', 'Got no reply of the leader in time, wanted the command committed', {outcome: 'unknown', retryAfterMilliseconds: retryMilliseconds}));
	}

	return reply.type === 'answer' ? Right(reply.answer) : Left(reply.failed);
}
