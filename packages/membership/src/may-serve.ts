/** What an instance still serves once its configuration lease ran out. */
export type IsolatedServing = 'settled' | 'all' | 'none';

/** What `mayServe` decides on. */
export type MayServeOptions = {
	/** Whether the instance's configuration lease is valid. */
	readonly leaseValid: boolean;
	/** The setting `isolation.serve`. */
	readonly serve: IsolatedServing;
	/** The state of the version in the last configuration; `plain-service` for a call to a plain service. */
	readonly versionState: 'settled' | 'rolling-out' | 'stopped' | 'withdrawn' | 'plain-service';
};

/**
Tells whether new work may go to a version.

With a valid lease the last configuration is the newest, so only withdrawn and stopped versions are out. Without one a version
in the middle of a roll-out may have been withdrawn meanwhile, so it gets new work only under `all`.

@param options The lease, the setting and the version's state.
@returns Whether it may get new work.
@example
```ts
mayServe({leaseValid: false, serve: 'settled', versionState: 'rolling-out'}); // false
```
*/
export function mayServe({leaseValid, serve, versionState}: MayServeOptions): boolean {
	if (versionState === 'withdrawn' || versionState === 'stopped') {
		return false;
	}

	if (leaseValid || serve === 'all') {
		return true;
	}

	return serve === 'settled' && versionState !== 'rolling-out';
}
