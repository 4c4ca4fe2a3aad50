import {type InstanceId} from '@valehitch/core';
import {sha256} from '../../digest.js';
import {type Member} from '../../member.js';

/** Options of {@linkcode chooseHolder}. */
export type ChooseHolderOptions = {
	/** The instance that needs a holder. */
	readonly self: Pick<Member, 'instance' | 'zone'>;
	/** Instances that refused or did not reply. */
	readonly excluded: ReadonlySet<InstanceId>;
};

/**
Chooses the instance that holds the copies of this instance's bills: another one, preferably in the same zone.

Within a zone, rendezvous hashing (Thaler and Ravishankar, 1998) gives each instance its own order of holders, which distributes the copies.

@param members The active instances.
@param options This instance, and the instances to exclude.
@returns The holder, or undefined if none is available.
@example
```ts
chooseHolder(members, {self, excluded: new Set()});
```
*/
export function chooseHolder(members: readonly Member[], {self, excluded}: ChooseHolderOptions): Member | undefined {
	let best: {readonly member: Member; readonly rank: string} | undefined;
	for (const member of members) {
		if (member.instance === self.instance || excluded.has(member.instance)) {
			continue;
		}

		const rank = `${member.zone === self.zone ? 0 : 1}${sha256(`${self.instance}/${member.instance}`)}`;
		if (best === undefined || rank < best.rank) {
			best = {member, rank};
		}
	}

	return best?.member;
}
