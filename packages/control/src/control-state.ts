import {
	type Bill, type EffectiveConfiguration, type Failure, type ServerId, type WorkspaceId,
} from '@valehitch/core';
import {Packr} from 'msgpackr';
import {type Either, Right} from 'purify-ts';
import {match} from 'ts-pattern';
import {Claims, type ClaimsData} from './_claims.js';
import {ConfigurationChanges, type ConfigurationData} from './_configuration-changes.js';
import {Ledger, type LedgerData} from './_ledger.js';
import {ReplicatedClock, type ReplicatedClockData} from './_replicated-clock.js';
import {Orders} from './_orders.js';
import {
	type Command, type ExpireCommand, type InstanceLostCommand, type SetLimitsCommand,
} from './command.js';
import {
	type CommandResponse, type CommandResult, type LogPosition, type RevisionResponse,
} from './command-response.js';
import {resetSnapshotTimes} from './_reset-snapshot-times.js';
import {type ConfigurationChange} from './configuration-change.js';
import {type ControlLimits, defaultControlLimits} from './control-limits.js';
import {
	type ArchivableBills, type LedgerPage, type LedgerQuery, type WorkspaceTotal,
} from './ledger-page.js';
import {type OrderRecord} from './order.js';

const snapshotFormat = 1;
const packr = new Packr({useRecords: true, structuredClone: false});

type SnapshotData = {
	readonly format: number;
	readonly limits: ControlLimits;
	readonly configuration: ConfigurationData;
	readonly claims: ClaimsData;
	readonly ledger: LedgerData;
	readonly orders: readonly OrderRecord[];
	/** Absent from snapshots of versions that expired records by their dates. */
	readonly time?: ReplicatedClockData;
};

/**
The replicated state: configuration, rollouts, claims, ledger and orders. It is a deterministic function of the sequence of commands and does not depend on local clocks or randomness.

@example
```ts
const state = new ControlState();
state.apply({type: 'record-bills', bills: []}, {term: 1, index: 1});
```
*/
export class ControlState {
	/**
	Restores the state from a snapshot.

	@param bytes The result of `toSnapshot`.
	@returns The state.
	@throws {RangeError} If the snapshot has another format.
	@example
	```ts
	const copy = ControlState.fromSnapshot(state.toSnapshot());
	```
	*/
	static fromSnapshot(bytes: Uint8Array): ControlState {
		const data = packr.unpack(bytes) as SnapshotData;
		if (data.format !== snapshotFormat) {
			throw new RangeError(`Unsupported snapshot format ${data.format}: expected ${snapshotFormat}`);
		}

		return new ControlState(data.time === undefined ? resetSnapshotTimes(data) : data);
	}

	#limits: ControlLimits;
	readonly #configuration: ConfigurationChanges;
	readonly #claims: Claims;
	readonly #ledger: Ledger;
	readonly #orders: Orders;
	readonly #clock: ReplicatedClock;

	constructor(data?: SnapshotData) {
		this.#clock = new ReplicatedClock(data?.time);
		this.#limits = data?.limits ?? defaultControlLimits;
		this.#configuration = new ConfigurationChanges(data?.configuration);
		this.#claims = new Claims(data?.claims);
		this.#ledger = new Ledger(data?.ledger);
		this.#orders = new Orders(data?.orders);
	}

	/** The last committed configuration. */
	get effective(): EffectiveConfiguration {
		return this.#configuration.effective;
	}

	/** The most recent configuration changes, oldest first; at most 32. */
	get history(): readonly ConfigurationChange[] {
		return this.#configuration.history;
	}

	/** The limits of the state. */
	get limits(): ControlLimits {
		return this.#limits;
	}

	/** The bills that are not archived, in the order of recording. */
	get bills(): Iterable<Bill> {
		return this.#ledger.bills;
	}

	/** The positions of the bills that are not archived. If there are none, `last` is `first - 1`. */
	get billPositions(): {readonly first: number; readonly last: number} {
		return this.#ledger.positions;
	}

	/** The retained completed orders, oldest first. */
	get completedOrders(): readonly OrderRecord[] {
		return this.#orders.completed;
	}

	/**
	Returns the open orders in the order of issue.

	@param server Limits the result to one server.
	@returns The orders.
	*/
	openOrders(server?: ServerId): readonly OrderRecord[] {
		return this.#orders.open(server);
	}

	/**
	Reads a page of the bills that are not archived, or the latest 1,000 refused bills.

	@param query The workspace, the starting position and the page size.
	@returns The page.
	*/
	readLedger(query: LedgerQuery): LedgerPage {
		return this.#ledger.read(query);
	}

	/**
	Returns the total billed to a workspace.

	@param workspace The workspace.
	@returns The number of its bills and their sum.
	*/
	workspaceTotal(workspace: WorkspaceId): WorkspaceTotal {
		return this.#ledger.total(workspace);
	}

	/**
	Returns the oldest bills, beyond the number kept in memory. They are kept until `dropArchived` is called.

	@returns The bills for the host to write to its archive.
	*/
	archivableBills(): ArchivableBills {
		return this.#ledger.archivable(this.#limits);
	}

	/**
	Deletes bills that the host has synced to its archive.

	@param lastPosition The position of the last archived bill.
	*/
	dropArchived(lastPosition: number): void {
		this.#ledger.deleteArchived(lastPosition);
	}

	/**
	Applies a command.

	@param command The next command of the log.
	@param position The position of the command in the log.
	@returns The response or the failure, the same on every replica.
	*/
	apply<Kind extends Command>(command: Kind, position: LogPosition): CommandResult<Kind> {
		return this.#execute(command, position) as CommandResult<Kind>;
	}

	/**
	Serializes the state.

	@returns The state in MessagePack.
	*/
	toSnapshot(): Uint8Array {
		const data: SnapshotData = {
			format: snapshotFormat,
			limits: this.#limits,
			configuration: this.#configuration.toData(),
			claims: this.#claims.toData(),
			ledger: this.#ledger.toData(),
			orders: this.#orders.toData(),
			time: this.#clock.toData(),
		};
		return new Uint8Array(packr.pack(data));
	}

	#execute(command: Command, position: LogPosition): Either<Failure, CommandResponse> {
		const limits = this.#limits;
		const context = {limits, clock: this.#clock};
		return match(command)
			.with({type: 'apply-configuration'}, received => this.#configuration.apply(received, context).map(revision => ({revision})))
			.with({type: 'advance-rollout'}, received => this.#configuration.advance(received).map(rollout => this.#withRevision({rollout})))
			.with({type: 'stop-version'}, received => this.#configuration.stop(received).map(rollout => this.#withRevision({rollout})))
			.with({type: 'record-bills'}, received => Right(this.#withRevision(this.#ledger.record(received, context))))
			.with({type: 'take-claim'}, received => this.#claims.take(received, context).map(claim => this.#withRevision({claim})))
			.with({type: 'settle-claim'}, received => Right(this.#withRevision({claim: this.#claims.settle(received, context)})))
			.with({type: 'instance-lost'}, received => Right(this.#handleInstanceLost(received)))
			.with({type: 'issue-order'}, received => this.#orders.issue(received, {position, limits}).map(order => this.#withRevision({order})))
			.with({type: 'complete-order'}, received => this.#orders.complete(received, limits).map(order => this.#withRevision({order})))
			.with({type: 'expire'}, received => Right(this.#expire(received)))
			.with({type: 'set-limits'}, received => Right(this.#setLimits(received)))
			.exhaustive();
	}

	#handleInstanceLost({instance}: InstanceLostCommand): RevisionResponse {
		this.#claims.handleInstanceLost(instance, this.#clock);
		return this.#withRevision({});
	}

	#expire({at}: ExpireCommand): RevisionResponse {
		this.#clock.advance(at);
		const context = {limits: this.#limits, clock: this.#clock};
		this.#configuration.expire(context);
		this.#claims.expire(context);
		this.#ledger.expire(context);
		return this.#withRevision({});
	}

	#setLimits({limits}: SetLimitsCommand): RevisionResponse {
		this.#limits = limits;
		return this.#withRevision({});
	}

	#withRevision<Members extends Record<string, unknown>>(members: Members): Members & RevisionResponse {
		return {...members, revision: this.effective.revision};
	}
}
