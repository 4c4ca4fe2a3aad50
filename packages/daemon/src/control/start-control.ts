import {type Command, type CommandResponse, type ControlState} from '@valehitch/control';
import {instanceOf} from '@valehitch/consensus';
import {
	type Failure, failure, type InstanceId, toId,
} from '@valehitch/core';
import {type DataFolder, openDataFolder} from '@valehitch/storage';
import {type PeerAddress} from '@valehitch/transport';
import {type Either, Left, Right} from 'purify-ts';
import {type AddressedReplicaMessage, encodeReplicaMessage} from '@valehitch/replication';
import {type DaemonBase} from '../daemon-base.js';
import {type BillChunk} from './archive/bill-chunk.js';
import {type RunningArchive, startArchive} from './archive/start-archive.js';
import {ControlRequestHandler} from './control-request-handler.js';
import {ControlClient} from './control-client.js';
import {ControlHost} from './control-host.js';
import {type AppliedListener} from './control-host-options.js';
import {reportExpiredBills} from './report-expired-bills.js';
import {
	type ControlMessage, type JoinReply, type SnapshotChunkReply,
} from './messages.js';
import {type SnapshotEnvelope} from './snapshot-chunks.js';
import {SnapshotSender} from './snapshot-sender.js';

/** The control component of a daemon. */
export type ControlPart = {
	readonly client: ControlClient;
	/** Handles a message to the control role; returns undefined if this instance does not have the role. */
	readonly answer: (message: ControlMessage) => Promise<unknown>;
	/** Returns whether this instance is the leader, has a valid lease, and has applied all entries that were committed before its term. */
	readonly isLeader: () => boolean;
	/** Waits until this instance has applied all committed entries; returns false if it is not the leader. */
	readonly catchUp: () => Promise<boolean>;
	/** Returns the end of the leader lease, in milliseconds of the monotonic clock; no other instance can lead before that. Undefined if this instance has no lease. */
	readonly leaseValidUntil: () => number | undefined;
	/** Returns the leader, if known to this instance. */
	readonly leader: () => InstanceId | undefined;
	/** Returns the control state as applied on this instance; undefined without the control role. */
	readonly state: () => ControlState | undefined;
	/** Adds a listener for the commands that this instance applies; returns a function that removes it. */
	readonly onApplied: (listener: AppliedListener) => () => void;
	/** Commits a command if this instance is the leader; used by the leader tasks. */
	readonly propose: (command: Command) => Promise<Either<Failure, CommandResponse>>;
	readonly stop: () => Promise<void>;
};

const proposeTimeoutMilliseconds = 2500;
const requestTimeoutMilliseconds = 1500;

/**
Starts the control component: a client on every instance, and a replica of the control state on instances with the control role.

If the data folder cannot be opened or written, the role stops, but the daemon continues.

@param base The dependencies that all components share.
@returns The component.
@example
```ts
const control = await startControl(base);
```
*/
export async function startControl(base: DaemonBase): Promise<ControlPart> {
	const {settings, clock} = base;
	const folder = await openFolder(base);
	const started: {archive?: RunningArchive | undefined} = {};
	const host = folder === undefined ? undefined : startHost(base, {folder, billsHeldUpTo: () => started.archive?.heldUpTo() ?? 0});
	const archive = host === undefined || settings.dataFolder === undefined
		? undefined
		: await startArchive(base, {
			dataFolder: settings.dataFolder, firstBill: settings.controlLog.firstArchivedBill, state: () => host.state, sources: billSources(base),
		});
	started.archive = archive;
	const handler = host === undefined
		? undefined
		: new ControlRequestHandler({
			base, host, archive, ask: async (to, message) => askPeer(base, to, message),
		});
	const answer = async (message: ControlMessage): Promise<unknown> => handler?.handle(message);
	const sameZone = settings.control.find(({zone}) => zone === settings.zone);
	return {
		client: new ControlClient({
			clock,
			control: settings.control,
			preferred: host === undefined ? sameZone?.instance : settings.instance,
			ask: async (to, message) => to.instance === settings.instance
				? toReply(await answer(message))
				: askPeer<unknown>(base, to, message),
			wait: sleep,
		}),
		answer,
		isLeader: () => host?.isLeader ?? false,
		catchUp: async () => await host?.catchUp() ?? false,
		leaseValidUntil: () => host?.leaseValidUntil,
		leader: () => host?.leader,
		state: () => host?.state,
		onApplied: listener => host?.onApplied(listener) ?? noop,
		propose: async command => host?.propose(command) ?? Left(failure('no-quorum', 'This instance does not have the control role; send the command to the leader')),
		async stop() {
			await archive?.stop();
			await host?.stop();
		},
	};
}

async function openFolder({settings, log}: DaemonBase): Promise<DataFolder | undefined> {
	if (!settings.roles.includes('control') || settings.dataFolder === undefined) {
		return undefined;
	}

	const opened = await openDataFolder(settings.dataFolder, {segmentBytes: settings.controlLog.segmentBytes});
	return opened.caseOf<DataFolder | undefined>({
		Left(failed) {
			log.error({failure: failed, folder: settings.dataFolder}, 'Failed to open the data folder; the control role does not start');
			return undefined;
		},
		Right(folder) {
			for (const warning of folder.warnings) {
				log.warn({folder: settings.dataFolder}, warning);
			}

			return folder;
		},
	});
}

/** Returns a function per other control instance that requests a chunk of its bills. */
function billSources(base: DaemonBase) {
	const {instance: self, control} = base.settings;
	return control.filter(({instance}) => instance !== self).map(address => async (first: number) =>
		askPeer<BillChunk>(base, address, {scope: 'control', type: 'archived-bills', first}));
}

function startHost(base: DaemonBase, {folder, billsHeldUpTo}: {readonly folder: DataFolder; readonly billsHeldUpTo: () => number}): ControlHost {
	const {settings: {control}, network, log, metrics, timeline} = base;
	const addresses = new Map(control.map(address => [address.instance, address]));
	const snapshots = new SnapshotSender({
		async send(chunk) {
			const address = addresses.get(toId<InstanceId>(instanceOf(chunk.to)));
			return address === undefined
				? Left(failure('no-quorum', `${chunk.to} is not a replica of a control instance`))
				: askPeer<SnapshotChunkReply>(base, address, chunk);
		},
	});
	const host = new ControlHost({
		base,
		folder,
		billsHeldUpTo,
		async ask(to, message) {
			const address = addresses.get(to);
			return address === undefined
				? Left(failure('no-quorum', `${to} is not a control instance`))
				: askPeer<JoinReply>(base, address, message);
		},
		send(to, delivery) {
			const address = addresses.get(to);
			if (address === undefined) {
				return;
			}

			if (needsChunks(delivery)) {
				void snapshots.send(delivery);
				return;
			}

			network.send(address, {
				scope: 'control', type: 'replica', from: delivery.from, to: delivery.to, message: encodeReplicaMessage(delivery.message),
			});
		},
		onFailure(failed) {
			metrics.increment('control.failed');
			log.error({failure: failed}, 'The control role stopped; the daemon continues without it');
		},
	});
	host.onApplied(applied => {
		const {command, result} = applied;
		reportExpiredBills(base, applied);
		if (command.type === 'apply-configuration' && result.isRight()) {
			const {revision} = result.unsafeCoerce();
			timeline.record('configuration-committed', {revision, changeId: command.changeId});
		}
	});
	host.start();
	return host;
}

async function askPeer<Reply>({network}: DaemonBase, to: PeerAddress, message: ControlMessage): Promise<Either<Failure, Reply>> {
	const needsCommit = message.type === 'propose';
	const reply = await network.request(to, message, {timeoutMilliseconds: needsCommit ? proposeTimeoutMilliseconds : requestTimeoutMilliseconds});
	return reply.chain(body => body === undefined ? Left(missingRole(to)) : Right(body as Reply));
}

/** Returns whether a message must be sent in chunks. The initial snapshot at index 0 contains no state and is sent like any other message. */
function needsChunks(delivery: AddressedReplicaMessage): delivery is SnapshotEnvelope {
	return delivery.message.type === 'snapshot-request' && delivery.message.snapshot.data.byteLength > 0;
}

function toReply(body: unknown): Either<Failure, unknown> {
	return body === undefined
		? Left(failure('no-quorum', 'This instance does not have the control role'))
		: Right(body);
}

function missingRole({instance}: PeerAddress): Failure {
	return failure('no-quorum', `The control role is not running on ${instance}; check the data folder of that instance`);
}

function noop(): void {
	// No listener was added.
}

async function sleep(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

