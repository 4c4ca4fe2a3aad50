import {type TunnelTarget} from './tunnel-target.js';

const defaultPort = 80;

/**
Parses the base URL of a server.

@param address The URL, such as `http://127.0.0.1:9001`.
@returns The host and port; port 80 if the URL has none.
@example
```ts
parseAddress('http://127.0.0.1:9001'); // {host: '127.0.0.1', port: 9001}
```
*/
export function parseAddress(address: string): TunnelTarget {
	const {hostname, port} = new URL(address);
	return {host: hostname, port: port === '' ? defaultPort : Number(port)};
}
