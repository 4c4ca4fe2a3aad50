import {type EffectiveConfiguration, type Failure, type WorkspaceId} from '@valehitch/core';
import {compilePolicies, type Policies} from '@valehitch/policy';
import {type Either} from 'purify-ts';

/** A configuration prepared for serving requests. */
export type ActiveConfiguration = {
	readonly effective: EffectiveConfiguration;
	readonly policies: Policies;
	/** The workspaces by API key digest. */
	readonly workspaces: ReadonlyMap<string, WorkspaceId>;
	/** Whether the configuration lease has expired, so that a newer configuration may be in force elsewhere. */
	readonly isolated: boolean;
};

/**
Prepares a configuration for serving requests.

@param effective The effective configuration.
@returns The configuration with compiled policies and the workspaces by API key digest, or the failure of a condition that does not compile.
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
