/** What an instance may serve after its configuration lease has expired. */
export type IsolationMode = 'settled' | 'all' | 'none';

/** The inputs of `mayServe`. */
export type MayServeOptions = {
	/** Whether the instance's configuration lease is valid. */
	readonly leaseValid: boolean;
	/** The setting `isolation.serve`. */
	readonly serve: IsolationMode;
	/** The state of the version in the last known configuration, or `plain-service` for a call to a plain service. */
	readonly versionState: 'settled' | 'rolling-out' | 'stopped' | 'withdrawn' | 'plain-service';
};

/**
Checks whether a version may receive new work.

With a valid lease the last known configuration is current, so only withdrawn and stopped versions are excluded. Without a valid lease,
a version in rollout may have been withdrawn in the meantime, so it receives new work only with the setting `all`.

@param options The lease, the setting and the version's state.
@returns Whether the version may receive new work.
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
