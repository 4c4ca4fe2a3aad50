import {intervalAfterInput, type PeerNetwork} from '@valehitch/transport';
import {type Member} from '../../member.js';
import {type PeerMessage} from '../../messages.js';
import {type OwnedBillsReply} from '../messages.js';
import {type BillKeeper} from './bill-keeper.js';
import {type HeldBills, type SilentOwner} from './held-bills.js';

/** What is watched. */
export type WatchBillsOptions = {
	readonly bills: BillKeeper;
	readonly held: HeldBills;
	readonly members: () => readonly Member[];
	readonly network: PeerNetwork<PeerMessage>;
	/** Milliseconds between two looks; 1000 by default. */
	readonly everyMilliseconds?: number;
};

/** A running watch. */
export type BillsWatch = {
	readonly stop: () => void;
};

const defaultEveryMilliseconds = 1000;

/**
Looks every second after the copies of bills: finds new holders for this instance's, settles those of owners that are lost, and asks owners that are silent.

@param options What is watched.
@returns The running watch.
@example
```ts
const watch = watchBills({bills, held, members, network});
watch.stop();
```
*/
export function watchBills(options: WatchBillsOptions): BillsWatch {
	// An owner whose word waits to be read is not silent: its open bills would be settled as unknown.
	const stop = intervalAfterInput(options.everyMilliseconds ?? defaultEveryMilliseconds, () => {
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

type Asking = Pick<WatchBillsOptions, 'held' | 'network'> & {readonly owner: Member};

async function ask(silent: SilentOwner, {held, network, owner}: Asking): Promise<void> {
	const reply = await network.request(owner, {scope: 'entry', type: 'owned-bills', requests: silent.requests});
	const body = reply.toMaybe().extract() as OwnedBillsReply | undefined;
	if (body !== undefined) {
		held.takeReply(silent, body);
	}
}
