/** Options of {@linkcode rateLimitShare}. */
export type RateLimitShareOptions = {
	/** The number of control instances that grant leases. */
	readonly grantors: number;
};

/**
Returns the part of a server's rate limit that one control instance may grant.

One share more than there are control instances is kept free, for one that is being replaced while its successor grants already.

@param limit The requests per window that the server tolerates.
@param options The number of control instances.
@returns The share; 0 if the limit is too low to be divided, so that the server is not used.
@example
```ts
rateLimitShare(24.5, {grantors: 6}); // 3
```
*/
export function rateLimitShare(limit: number, {grantors}: RateLimitShareOptions): number {
	return Math.floor(limit / (grantors + 1));
}
