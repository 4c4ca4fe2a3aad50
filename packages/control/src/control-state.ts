import {
	type Bill, type EffectiveConfiguration, type Failure, type ServerId, type WorkspaceId,
} from '@valehitch/core';
import {Packr} from 'msgpackr';
import {type Either, Right} from 'purify-ts';
import {match} from 'ts-pattern';
import {Claims, type ClaimsData} from './_claims.js';
import {ConfigurationChanges, type ConfigurationData} from './_configuration-changes.js';
import {Ledger, type LedgerData} from './_ledger.js';
import {LogTime, type LogTimeData} from './_log-time.js';
import {Orders} from './_orders.js';
import {
	type Command, type ExpireCommand, type InstanceLostCommand, type SetLimitsCommand,
} from './command.js';
import {
	type CommandAnswer, type CommandResult, type LogPosition, type RevisionAnswer,
} from './command-answer.js';
import {undateSnapshot} from './_undate-snapshot.js';
import {type ConfigurationChange} from './configuration-change.js';
import {type ControlLimits, defaultControlLimits} from './control-limits.js';
import {
	type ArchivableBills, type LedgerPage, type LedgerQuestion, type WorkspaceTotal,
} from './ledger-page.js';
import {type OrderRecord} from './order.js';

const format = 1;
const packr = new Packr({useRecords: true, structuredClone: false});

type SnapshotData = {
	readonly format: number;
	readonly limits: ControlLimits;
	readonly configuration: ConfigurationData;
	readonly claims: ClaimsData;
	readonly ledger: LedgerData;
	readonly orders: readonly OrderRecord[];
	/** Missing in snapshots of versions that went by dates. */
	readonly time?: LogTimeData;
};

/**
The replicated state: configuration, claims, ledger, roll-outs and orders; a function of the commands in their order, without time or chance.

@example
```ts
const state = new ControlState();
state.apply({type: 'record-bills', bills: []}, {term: 1, index: 1});
```
*/
export class ControlState {
	/**
	Reads a snapshot.

	@param bytes What `toSnapshot` gave.
	@returns The state.
	@throws If the snapshot is of another format.
	@example
	```ts
	const copy = ControlState.fromSnapshot(state.toSnapshot());
	```
	*/
	static fromSnapshot(bytes: Uint8Array): ControlState {
		const data = packr.unpack(bytes) as SnapshotData;
		if (data.format !== format) {
			throw new RangeError(`Got a snapshot of format ${data.format}, wanted format ${format}`);
		}

		return new ControlState(data.time === undefined ? undateSnapshot(data) : data);
	}

	#limits: ControlLimits;
	readonly #configuration: ConfigurationChanges;
	readonly #claims: Claims;
	readonly #ledger: Ledger;
	readonly #orders: Orders;
	readonly #time: LogTime;

	constructor(data?: SnapshotData) {
		this.#time = new LogTime(data?.time);
		this.#limits = data?.limits ?? defaultControlLimits;
		this.#configuration = new ConfigurationChanges(data?.configuration);
		this.#claims = new Claims(data?.claims);
		this.#ledger = new Ledger(data?.ledger);
		this.#orders = new Orders(data?.orders);
	}

	/** The configuration that was committed last. */
	get effective(): EffectiveConfiguration {
		return this.#configuration.effective;
	}

	/** The last changes of the configuration, the oldest first; at most 32. */
	get history(): readonly ConfigurationChange[] {
		return this.#configuration.history;
	}

	/** The bounds of what is kept. */
	get limits(): ControlLimits {
		return this.#limits;
	}

	/** The bills that are not archived yet, in the order in which they came. */
	get bills(): Iterable<Bill> {
		return this.#ledger.bills;
	}

	/** The positions of the bills that are not archived yet; where there are none, `last` is one below `first`. */
	get billPositions(): {readonly first: number; readonly last: number} {
		return this.#ledger.positions;
	}

	/** The completed orders that are kept, the oldest first. */
	get completedOrders(): readonly OrderRecord[] {
		return this.#orders.completed;
	}

	/**
	The open orders in the order in which they were issued.

	@param server The server; all by default.
	@returns The orders.
	*/
	openOrders(server?: ServerId): readonly OrderRecord[] {
		return this.#orders.open(server);
	}

	/**
	Reads a page of the bills that are not archived yet, or the latest 1,000 that were refused.

	@param question The workspace, where to go on, and the size of the page.
	@returns The page.
	*/
	readLedger(question: LedgerQuestion): LedgerPage {
		return this.#ledger.read(question);
	}

	/**
	What a workspace was billed in all.

	@param workspace The workspace.
	@returns The number of its bills and their sum.
	*/
	totalOf(workspace: WorkspaceId): WorkspaceTotal {
		return this.#ledger.total(workspace);
	}

	/**
	The oldest bills, beyond the number that is kept for reading; they stay until `dropArchived`.

	@returns The bills, for the host to write to its archive.
	*/
	archivableBills(): ArchivableBills {
		return this.#ledger.archivable(this.#limits);
	}

	/**
	Drops bills that the host has synced to its archive.

	@param lastPosition The position of the last of them.
	*/
	dropArchived(lastPosition: number): void {
		this.#ledger.dropArchived(lastPosition);
	}

	/**
	Carries out one command.

	@param command The next command of the log.
	@param position Where the command stands in the log.
	@returns The answer or the failure; both are the same on every replica.
	*/
	apply<Kind extends Command>(command: Kind, position: LogPosition): CommandResult<Kind> {
		return this.#carryOut(command, position) as CommandResult<Kind>;
	}

	/**
	Writes the whole state.

	@returns The state in MessagePack.
	*/
	toSnapshot(): Uint8Array {
		const data: SnapshotData = {
			format,
			limits: this.#limits,
			configuration: this.#configuration.toData(),
			claims: this.#claims.toData(),
			ledger: this.#ledger.toData(),
			orders: this.#orders.toData(),
			time: this.#time.toData(),
		};
		return new Uint8Array(packr.pack(data));
	}

	#carryOut(command: Command, position: LogPosition): Either<Failure, CommandAnswer> {
		const limits = this.#limits;
		const context = {limits, time: this.#time};
		return match(command)
			.with({type: 'apply-configuration'}, found => this.#configuration.apply(found, context).map(revision => ({revision})))
			.with({type: 'advance-rollout'}, found => this.#configuration.advance(found).map(rollout => this.#answer({rollout})))
			.with({type: 'stop-version'}, found => this.#configuration.stop(found).map(rollout => this.#answer({rollout})))
			.with({type: 'record-bills'}, found => Right(this.#answer(this.#ledger.record(found, context))))
			.with({type: 'take-claim'}, found => this.#claims.take(found, context).map(claim => this.#answer({claim})))
			.with({type: 'settle-claim'}, found => Right(this.#answer({claim: this.#claims.settle(found, context)})))
			.with({type: 'instance-lost'}, found => Right(this.#loseInstance(found)))
			.with({type: 'issue-order'}, found => this.#orders.issue(found, {position, limits}).map(order => this.#answer({order})))
			.with({type: 'complete-order'}, found => this.#orders.complete(found, limits).map(order => this.#answer({order})))
			.with({type: 'expire'}, found => Right(this.#expire(found)))
			.with({type: 'set-limits'}, found => Right(this.#setLimits(found)))
			.exhaustive();
	}

	#loseInstance({instance}: InstanceLostCommand): RevisionAnswer {
		this.#claims.instanceLost(instance, this.#time);
		return this.#answer({});
	}

	#expire({at}: ExpireCommand): RevisionAnswer {
		this.#time.advance(at);
		const context = {limits: this.#limits, time: this.#time};
		this.#configuration.expire(context);
		this.#claims.expire(context);
		this.#ledger.expire(context);
		return this.#answer({});
	}

	#setLimits({limits}: SetLimitsCommand): RevisionAnswer {
		this.#limits = limits;
		return this.#answer({});
	}

	#answer<Members extends Record<string, unknown>>(members: Members): Members & RevisionAnswer {
		return {...members, revision: this.effective.revision};
	}
}
