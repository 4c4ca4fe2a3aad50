import {type Command, type CommandAnswer, type ControlState} from '@valehitch/control';
import {instanceOf} from '@valehitch/consensus';
import {
	type Failure, failure, type InstanceId, toId,
} from '@valehitch/core';
import {type DataFolder, openDataFolder} from '@valehitch/storage';
import {type PeerAddress} from '@valehitch/transport';
import {type Either, Left, Right} from 'purify-ts';
import {type ReplicaDelivery, writeReplicaMessage} from '@valehitch/replication';
import {type DaemonBase} from '../daemon-base.js';
import {type ArchivedPiece} from './archive/archived-piece.js';
import {type RunningArchive, startArchive} from './archive/start-archive.js';
import {ControlAnswers} from './control-answers.js';
import {ControlClient} from './control-client.js';
import {ControlHost} from './control-host.js';
import {type AppliedListener} from './control-host-options.js';
import {reportExpiredBills} from './expired-bills.js';
import {
	type ControlMessage, type JoinReply, type SnapshotPieceReply,
} from './messages.js';
import {type SnapshotEnvelope} from './snapshot-pieces.js';
import {SnapshotSender} from './snapshot-sender.js';

/** The control part of a daemon. */
export type ControlPart = {
	readonly client: ControlClient;
	/** Answers a message to the control role; undefined where this instance does not have it. */
	readonly answer: (message: ControlMessage) => Promise<unknown>;
	/** Whether this instance leads under a valid lease, with everything applied that was committed before its term. */
	readonly isLeader: () => boolean;
	/** Waits until all that was committed is applied here; false where this instance does not lead. */
	readonly catchUp: () => Promise<boolean>;
	/** Milliseconds on the monotonic clock until which no other instance can lead; undefined where this one holds no lease. */
	readonly leaseValidUntil: () => number | undefined;
	/** The leader, where this instance knows one. */
	readonly leader: () => InstanceId | undefined;
	/** The control state as far as it is applied here; undefined without the control role. */
	readonly state: () => ControlState | undefined;
	/** Tells a listener of each command that is applied here; gives what takes the listener away. */
	readonly onApplied: (listener: AppliedListener) => () => void;
	/** Has a command committed where this instance leads; for tasks of the leader. */
	readonly propose: (command: Command) => Promise<Either<Failure, CommandAnswer>>;
	readonly stop: () => Promise<void>;
};

const commitReplyMilliseconds = 2500;
const replyMilliseconds = 1500;

/**
Starts the control part: the client on every instance, a replica of the control state where the settings give the role.

A data folder that cannot be opened or written stops the role and not the daemon.

@param base What every part works with.
@returns The part.
@example
```ts
const control = await startControl(base);
```
*/
export async function startControl(base: DaemonBase): Promise<ControlPart> {
	const {settings, clock} = base;
	const folder = await openFolder(base);
	const held: {archive?: RunningArchive | undefined} = {};
	const host = folder === undefined ? undefined : startHost(base, {folder, billsHeldUpTo: () => held.archive?.heldUpTo() ?? 0});
	const archive = host === undefined || settings.dataFolder === undefined
		? undefined
		: await startArchive(base, {
			dataFolder: settings.dataFolder, firstBill: settings.controlLog.firstArchivedBill, state: () => host.state, sources: billSources(base),
		});
	held.archive = archive;
	const answers = host === undefined
		? undefined
		: new ControlAnswers({
			base, host, archive, ask: async (to, message) => askPeer(base, to, message),
		});
	const answer = async (message: ControlMessage): Promise<unknown> => answers?.answer(message);
	const zoneMate = settings.control.find(({zone}) => zone === settings.zone);
	return {
		client: new ControlClient({
			clock,
			control: settings.control,
			first: host === undefined ? zoneMate?.instance : settings.instance,
			ask: async (to, message) => to.instance === settings.instance
				? toReply(await answer(message))
				: askPeer<unknown>(base, to, message),
			wait: elapsed,
		}),
		answer,
		isLeader: () => host?.isLeader ?? false,
		catchUp: async () => await host?.catchUp() ?? false,
		leaseValidUntil: () => host?.leaseValidUntil,
		leader: () => host?.leader,
		state: () => host?.state,
		onApplied: listener => host?.onApplied(listener) ?? nothing,
		propose: async command => host?.propose(command) ?? Left(failure('no-quorum', 'Got a command on an instance without the control role, wanted it on the leader')),
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
			log.error({failure: failed, folder: settings.dataFolder}, 'The data folder could not be opened; the control role does not start');
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

/** The other control instances, each asked for a piece of its bills. */
function billSources(base: DaemonBase) {
	const {instance: self, control} = base.settings;
	return control.filter(({instance}) => instance !== self).map(address => async (first: number) =>
		askPeer<ArchivedPiece>(base, address, {scope: 'control', type: 'archived-bills', first}));
}

function startHost(base: DaemonBase, {folder, billsHeldUpTo}: {readonly folder: DataFolder; readonly billsHeldUpTo: () => number}): ControlHost {
	const {settings: {control}, network, log, metrics, timeline} = base;
	const addresses = new Map(control.map(address => [address.instance, address]));
	const snapshots = new SnapshotSender({
		async ask(piece) {
			const address = addresses.get(toId<InstanceId>(instanceOf(piece.to)));
			return address === undefined
				? Left(failure('no-quorum', `Got ${piece.to}, wanted a replica of a control instance`))
				: askPeer<SnapshotPieceReply>(base, address, piece);
		},
	});
	const host = new ControlHost({
		base,
		folder,
		billsHeldUpTo,
		async ask(to, message) {
			const address = addresses.get(to);
			return address === undefined
				? Left(failure('no-quorum', `Got ${to}, wanted a control instance`))
				: askPeer<JoinReply>(base, address, message);
		},
		send(to, delivery) {
			const address = addresses.get(to);
			if (address === undefined) {
				return;
			}

			if (isSnapshot(delivery)) {
				void snapshots.send(delivery);
				return;
			}

			network.send(address, {
				scope: 'control', type: 'replica', from: delivery.from, to: delivery.to, message: writeReplicaMessage(delivery.message),
			});
		},
		onFailure(failed) {
			metrics.increment('control.failed');
			log.error({failure: failed}, 'The control role stopped; the daemon goes on without it');
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
	const reply = await network.request(to, message, {timeoutMilliseconds: needsCommit ? commitReplyMilliseconds : replyMilliseconds});
	return reply.chain(body => body === undefined ? Left(withoutRole(to)) : Right(body as Reply));
}

/** The first snapshot, at index 0, holds no state and goes as the other messages do. */
function isSnapshot(delivery: ReplicaDelivery): delivery is SnapshotEnvelope {
	return delivery.message.type === 'snapshot-request' && delivery.message.snapshot.data.byteLength > 0;
}

function toReply(body: unknown): Either<Failure, unknown> {
	return body === undefined
		? Left(failure('no-quorum', 'Got a question on an instance without the control role'))
		: Right(body);
}

function withoutRole({instance}: PeerAddress): Failure {
	return failure('no-quorum', `Got ${instance} without the control role, wanted it to have a data folder that works`);
}

function nothing(): void {
	// No listener was added.
}

async function elapsed(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

