import {type CommandResponse} from '@valehitch/control';
import {type Failure, failure} from '@valehitch/core';
import {type PeerAddress} from '@valehitch/transport';
import {type Either, Left, Right} from 'purify-ts';
import {match} from 'ts-pattern';
import {decodeReplicaMessage} from '@valehitch/replication';
import {type DaemonBase} from '../daemon-base.js';
import {toResultReply} from '../result-reply.js';
import {type RunningArchive} from './archive/start-archive.js';
import {type ControlHost} from './control-host.js';
import {
	type ControlMessage, type ControlReply, type LeaderRequest, type LeaderReply, type LedgerMessage, type LedgerPage, type OrderList, type SnapshotChunkReply,
} from './messages.js';
import {SnapshotAssembler} from './snapshot-chunks.js';

/** The dependencies of a `ControlRequestHandler`. */
export type ControlRequestHandlerOptions = {
	readonly base: DaemonBase;
	readonly host: ControlHost;
	/** The bills that were removed from the state; undefined if the archive could not be opened. */
	readonly archive: RunningArchive | undefined;
	/** Sends a request to another control instance. */
	readonly ask: (to: PeerAddress, message: ControlMessage) => Promise<Either<Failure, unknown>>;
};

const ledgerPageSize = 1000;
const retryMilliseconds = 1000;

/**
Handles the messages to the control role. The leader replies itself; any other replica forwards a request for the leader at most once.

@example
```ts
const handler = new ControlRequestHandler({base, host, archive, ask});
```
*/
export class ControlRequestHandler {
	readonly #options: ControlRequestHandlerOptions;
	readonly #snapshots = new SnapshotAssembler();

	constructor(options: ControlRequestHandlerOptions) {
		this.#options = options;
	}

	/**
	Handles a message.

	@param message The message.
	@returns The reply; undefined for messages between replicas.
	*/
	async handle(message: ControlMessage): Promise<unknown> {
		const {host} = this.#options;
		return match(message)
			.with({type: 'replica'}, envelope => {
				host.receive({...envelope, message: decodeReplicaMessage(envelope.message)});
				return undefined;
			})
			.with({type: 'snapshot-piece'}, (chunk): SnapshotChunkReply => {
				const envelope = this.#snapshots.add(chunk);
				if (envelope !== undefined) {
					host.receive(envelope);
				}

				return {isTaken: true};
			})
			.with({type: 'join'}, request => host.join(request))
			.with({type: 'archived-bills'}, async ({first}) => this.#options.archive?.readChunk(first))
			.with({type: 'leader'}, (): LeaderReply => ({leader: host.leader}))
			.with({type: 'propose'}, {type: 'ledger'}, {type: 'orders'}, async request => this.#answerOrForward(request))
			.exhaustive();
	}

	async #answerOrForward(request: LeaderRequest): Promise<ControlReply<unknown>> {
		const {host} = this.#options;
		const {leader} = host;
		if (host.isLeader || request.isForwarded === true || leader === undefined || leader === this.#options.base.settings.instance) {
			const result = host.isLeader ? await this.#answerAsLeader(request) : Left(this.#noQuorum());
			return {result: toResultReply<unknown>(result), leader: host.leader};
		}

		return this.#forward(request, leader);
	}

	async #forward(request: LeaderRequest, leader: string): Promise<ControlReply<unknown>> {
		const {base: {settings}, ask} = this.#options;
		const address = settings.control.find(({instance}) => instance === leader);
		const reply = address === undefined
			? Left(this.#noQuorum())
			: await ask(address, {...request, isForwarded: true});
		return reply.caseOf<ControlReply<unknown>>({
			Left: failed => ({result: toResultReply<unknown>(Left(failed))}),
			Right: body => body as ControlReply<unknown>,
		});
	}

	async #answerAsLeader(request: LeaderRequest): Promise<Either<Failure, CommandResponse | LedgerPage | OrderList>> {
		const {host} = this.#options;
		if (request.type === 'propose') {
			return host.propose(request.command);
		}

		if (!await host.catchUp()) {
			return Left(this.#noQuorum());
		}

		if (request.type === 'ledger') {
			return this.#readLedger(request);
		}

		return Right(this.#readOrders());
	}

	#readOrders(): OrderList {
		const {state} = this.#options.host;
		return {open: state.openOrders(), completed: state.completedOrders};
	}

	async #readLedger({workspace, after, isRefused}: LedgerMessage): Promise<Either<Failure, LedgerPage>> {
		const {host: {state}, archive} = this.#options;
		const query = {
			workspace, after, isRefused, limit: ledgerPageSize,
		};
		const recent = state.readLedger(query);
		if (after >= recent.archivedUpTo) {
			return Right(toLedgerPage(recent));
		}

		if (archive === undefined || archive.heldUpTo() < recent.archivedUpTo) {
			return Left(failure('no-quorum', 'The leader is still fetching older bills from another replica', {retryAfterMilliseconds: retryMilliseconds}));
		}

		return Right(toLedgerPage(await archive.read(query)));
	}

	#noQuorum(): Failure {
		return failure('no-quorum', 'There is no leader with a valid lease', {retryAfterMilliseconds: retryMilliseconds});
	}
}

function toLedgerPage({bills, next}: Awaited<ReturnType<RunningArchive['read']>>): LedgerPage {
	return {bills, ...(next !== undefined && {next})};
}
