import {setIntervalAfterPoll, type PeerNetwork} from '@valehitch/transport';
import {type Member} from '../../member.js';
import {type PeerMessage} from '../../messages.js';
import {type OwnedBillsReply} from '../messages.js';
import {type BillStore} from './bill-store.js';
import {type BillCopyStore, type SilentOwner} from './bill-copy-store.js';

/** Options of {@linkcode startBillMaintenance}. */
export type BillMaintenanceOptions = {
	readonly bills: BillStore;
	readonly held: BillCopyStore;
	readonly members: () => readonly Member[];
	readonly network: PeerNetwork<PeerMessage>;
	/** The interval, in milliseconds; 1000 by default. */
	readonly intervalMilliseconds?: number;
};

/** The running maintenance. */
export type BillMaintenance = {
	readonly stop: () => void;
};

const defaultIntervalMilliseconds = 1000;

/**
Periodically maintains the copies of bills: replaces lost holders of this instance's bills, settles the copies of lost owners, and asks silent owners which copies they still need.

@param options The bills, the copies and how to reach their owners.
@returns The running maintenance.
@example
```ts
const maintenance = startBillMaintenance({bills, held, members, network});
maintenance.stop();
```
*/
export function startBillMaintenance(options: BillMaintenanceOptions): BillMaintenance {
	// Runs after pending input is read: an owner whose message has arrived but is unread is not silent, and its open bills must not be settled as unknown.
	const stop = setIntervalAfterPoll(options.intervalMilliseconds ?? defaultIntervalMilliseconds, () => {
		const members = options.members();
		options.bills.renew();
		if (members.length > 0) {
			options.held.recover(new Set(members.map(({instance}) => instance)));
		}

		void askOwners(options, members);
	});
	return {stop};
}

async function askOwners({held, network}: BillMaintenanceOptions, members: readonly Member[]): Promise<void> {
	await Promise.all(held.silentOwners().map(async silent => {
		const owner = members.find(({instance}) => instance === silent.owner);
		if (owner !== undefined) {
			await ask(silent, {held, network, owner});
		}
	}));
}

type AskOptions = Pick<BillMaintenanceOptions, 'held' | 'network'> & {readonly owner: Member};

async function ask(silent: SilentOwner, {held, network, owner}: AskOptions): Promise<void> {
	const reply = await network.request(owner, {scope: 'entry', type: 'owned-bills', requests: silent.requests});
	const body = reply.toMaybe().extract() as OwnedBillsReply | undefined;
	if (body !== undefined) {
		held.handleReply(silent, body);
	}
}
