/** The address that a tunnel leads to. */
export type TunnelTarget = {
	readonly host: string;
	readonly port: number;
};

/** The headers of a tunnel: who asks, how long the target may take, and in the answer, how many tunnels are open through the peer. */
export const tunnelHeader = {
	instance: 'valehitch-instance',
	connectTimeout: 'valehitch-connect-timeout',
	openTunnels: 'valehitch-open-tunnels',
} as const;

/** The statuses by which a peer says that the target refused the connection or did not answer; all others concern the peer itself. */
export const tunnelStatus = {opened: 200, targetRefused: 502, targetUnanswered: 504} as const;

const targetPattern = /^(?<host>[\w.\-]+):(?<port>\d{1,5})$/v;

/**
Parses the target of a CONNECT request (RFC 9110, section 9.3.6).

@param authority The authority, as `HOST:PORT`.
@returns The target; undefined if it is malformed.
@example
```ts
parseTunnelTarget('10.0.0.7:8740'); // {host: '10.0.0.7', port: 8740}
```
*/
export function parseTunnelTarget(authority: string): TunnelTarget | undefined {
	const {host, port} = targetPattern.exec(authority)?.groups ?? {};
	return host === undefined ? undefined : {host, port: Number(port)};
}
