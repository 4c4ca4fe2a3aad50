import {intervalAfterInput, type PeerNetwork} from '@valehitch/transport';
import {type Member} from '../../member.js';
import {type PeerMessage} from '../../messages.js';
import {type OwnedBillsReply} from '../messages.js';
import {type BillKeeper} from './bill-keeper.js';
import {type HeldBills, type SilentOwner} from './held-bills.js';

/** Options of {@linkcode startBillMaintenance}. */
export type WatchBillsOptions = {
	readonly bills: BillKeeper;
	readonly held: HeldBills;
	readonly members: () => readonly Member[];
	readonly network: PeerNetwork<PeerMessage>;
	/** The interval, in milliseconds; 1000 by default. */
	readonly everyMilliseconds?: number;
};

/** The running maintenance. */
export type BillsWatch = {
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
export function watchBills(options: WatchBillsOptions): BillsWatch {
	// Runs after pending input is read: an owner whose message has arrived but is unread is not silent, and its open bills must not be settled as unknown.
	const stop = intervalAfterInput(options.everyMilliseconds ?? defaultIntervalMilliseconds, () => {
		const members = options.members();
		options.bills.renew();
		if (members.length > 0) {
			options.held.recover(new Set(members.map(({instance}) => instance)));
		}

		void askOwners(options, members);
	});
	return {stop};
}

async function askOwners({held, network}: WatchBillsOptions, members: readonly Member[]): Promise<void> {
	await Promise.all(held.silent().map(async silent => {
		const owner = members.find(({instance}) => instance === silent.owner);
		if (owner !== undefined) {
			await ask(silent, {held, network, owner});
		}
	}));
}

type AskOptions = Pick<WatchBillsOptions, 'held' | 'network'> & {readonly owner: Member};

async function ask(silent: SilentOwner, {held, network, owner}: AskOptions): Promise<void> {
	const reply = await network.request(owner, {scope: 'entry', type: 'owned-bills', requests: silent.requests});
	const body = reply.toMaybe().extract() as OwnedBillsReply | undefined;
	if (body !== undefined) {
		held.takeReply(silent, body);
	}
}
