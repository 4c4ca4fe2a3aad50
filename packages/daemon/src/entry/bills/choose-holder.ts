import {type InstanceId} from '@valehitch/core';
import {sha256} from '../../digest.js';
import {type Member} from '../../member.js';

/** What the choice of a holder depends on besides the members. */
export type ChooseHolderOptions = {
	/** The instance whose copies are to be held. */
	readonly self: Pick<Member, 'instance' | 'zone'>;
	/** Instances that refused or did not answer. */
	readonly excluded: ReadonlySet<InstanceId>;
};

/**
Chooses the instance that holds the copies of this one's bills: another process, in the same zone where there is one.

The order within a zone differs from instance to instance (rendezvous hashing; Thaler and Ravishankar, 1998), so that the copies spread.

@param members The instances that are there.
@param options This instance, and which to leave out.
@returns The holder, or undefined where there is none.
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
