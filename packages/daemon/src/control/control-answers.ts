import {type CommandAnswer} from '@valehitch/control';
import {type Failure, failure} from '@valehitch/core';
import {type PeerAddress} from '@valehitch/transport';
import {type Either, Left, Right} from 'purify-ts';
import {match} from 'ts-pattern';
import {readReplicaMessage} from '@valehitch/replication';
import {type DaemonBase} from '../daemon-base.js';
import {toResultReply} from '../result-reply.js';
import {type RunningArchive} from './archive/start-archive.js';
import {type ControlHost} from './control-host.js';
import {
	type ControlMessage, type ControlReply, type LeaderQuestion, type LeaderReply, type LedgerMessage, type LedgerPage, type OrderList, type SnapshotPieceReply,
} from './messages.js';
import {SnapshotPieces} from './snapshot-pieces.js';

/** What the answers come from. */
export type ControlAnswersOptions = {
	readonly base: DaemonBase;
	readonly host: ControlHost;
	/** The bills that left the state; undefined where they cannot be read. */
	readonly archive: RunningArchive | undefined;
	/** Asks another control instance. */
	readonly ask: (to: PeerAddress, message: ControlMessage) => Promise<Either<Failure, unknown>>;
};

const ledgerPageSize = 1000;
const retryMilliseconds = 1000;

/**
Answers the messages to the control role: the leader itself, any other replica by passing the question on once.

@example
```ts
const answers = new ControlAnswers({base, host, ask});
```
*/
export class ControlAnswers {
	readonly #options: ControlAnswersOptions;
	readonly #pieces = new SnapshotPieces();

	constructor(options: ControlAnswersOptions) {
		this.#options = options;
	}

	/**
	Answers a message.

	@param message The message.
	@returns The reply; undefined for messages between replicas.
	*/
	async answer(message: ControlMessage): Promise<unknown> {
		const {host} = this.#options;
		return match(message)
			.with({type: 'replica'}, envelope => {
				host.receive({...envelope, message: readReplicaMessage(envelope.message)});
				return undefined;
			})
			.with({type: 'snapshot-piece'}, (piece): SnapshotPieceReply => {
				const envelope = this.#pieces.take(piece);
				if (envelope !== undefined) {
					host.receive(envelope);
				}

				return {isTaken: true};
			})
			.with({type: 'join'}, question => host.join(question))
			.with({type: 'archived-bills'}, async ({first}) => this.#options.archive?.piece(first))
			.with({type: 'leader'}, (): LeaderReply => ({leader: host.leader}))
			.with({type: 'propose'}, {type: 'ledger'}, {type: 'orders'}, async question => this.#answerAsLeader(question))
			.exhaustive();
	}

	async #answerAsLeader(question: LeaderQuestion): Promise<ControlReply<unknown>> {
		const {host} = this.#options;
		const {leader} = host;
		if (host.isLeader || question.isForwarded === true || leader === undefined || leader === this.#options.base.settings.instance) {
			const result = host.isLeader ? await this.#answerHere(question) : Left(this.#noQuorum());
			return {result: toResultReply<unknown>(result), leader: host.leader};
		}

		return this.#forward(question, leader);
	}

	async #forward(question: LeaderQuestion, leader: string): Promise<ControlReply<unknown>> {
		const {base: {settings}, ask} = this.#options;
		const address = settings.control.find(({instance}) => instance === leader);
		const reply = address === undefined
			? Left(this.#noQuorum())
			: await ask(address, {...question, isForwarded: true});
		return reply.caseOf<ControlReply<unknown>>({
			Left: failed => ({result: toResultReply<unknown>(Left(failed))}),
			Right: body => body as ControlReply<unknown>,
		});
	}

	async #answerHere(question: LeaderQuestion): Promise<Either<Failure, CommandAnswer | LedgerPage | OrderList>> {
		const {host} = this.#options;
		if (question.type === 'propose') {
			return host.propose(question.command);
		}

		if (!await host.catchUp()) {
			return Left(this.#noQuorum());
		}

		if (question.type === 'ledger') {
			return this.#readLedger(question);
		}

		return Right(this.#readOrders());
	}

	#readOrders(): OrderList {
		const {state} = this.#options.host;
		return {open: state.openOrders(), completed: state.completedOrders};
	}

	async #readLedger({workspace, after, isRefused}: LedgerMessage): Promise<Either<Failure, LedgerPage>> {
		const {host: {state}, archive} = this.#options;
		const question = {
			workspace, after, isRefused, limit: ledgerPageSize,
		};
		const recent = state.readLedger(question);
		if (after >= recent.archivedUpTo) {
			return Right(pageOf(recent));
		}

		if (archive === undefined || archive.heldUpTo() < recent.archivedUpTo) {
			return Left(failure('no-quorum', 'Got a leader that still fetches older bills from another replica, wanted one that has all', {retryAfterMilliseconds: retryMilliseconds}));
		}

		return Right(pageOf(await archive.read(question)));
	}

	#noQuorum(): Failure {
		return failure('no-quorum', 'Got no leader with a valid lease, wanted one', {retryAfterMilliseconds: retryMilliseconds});
	}
}

function pageOf({bills, next}: Awaited<ReturnType<RunningArchive['read']>>): LedgerPage {
	return {bills, ...(next !== undefined && {next})};
}
