import {type EffectiveConfiguration, type Failure, type WorkspaceId} from '@valehitch/core';
import {compilePolicies, type Policies} from '@valehitch/policy';
import {type Either} from 'purify-ts';

/** A configuration ready for requests. */
export type ActiveConfiguration = {
	readonly effective: EffectiveConfiguration;
	readonly policies: Policies;
	/** The workspace of each key digest. */
	readonly workspaces: ReadonlyMap<string, WorkspaceId>;
	/** Whether the configuration lease has run out, so that a newer configuration may be in force elsewhere. */
	readonly isolated: boolean;
};

/**
Makes a configuration ready for requests.

@param effective The configuration in force.
@returns It with compiled policies and the workspaces by key, or the failure of a condition that does not compile.
@example
```ts
activate(effective).map(active => active.workspaces.size);
```
*/
export function activate(effective: EffectiveConfiguration): Either<Failure, ActiveConfiguration> {
	const workspaces = new Map<string, WorkspaceId>();
	for (const [workspace, {keyDigests}] of Object.entries(effective.document.workspaces)) {
		for (const digest of keyDigests) {
			workspaces.set(digest, workspace as WorkspaceId);
		}
	}

	return compilePolicies(effective.document).map(policies => ({
		effective, policies, workspaces, isolated: false,
	}));
}
