import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {type EffectiveConfiguration} from '@valehitch/core';

const maximumConfigurationBytes = 16 * 1024 * 1024;

/**
Serializes a configuration as JSON and compresses it with DEFLATE.

@param effective The configuration.
@returns The compressed configuration.
@example
```ts
const bytes = packConfiguration(effective);
```
*/
export function packConfiguration(effective: EffectiveConfiguration): Uint8Array {
	return deflateRawSync(JSON.stringify(effective));
}

/**
Decompresses and parses a configuration.

@param bytes The bytes from {@linkcode packConfiguration}.
@returns The configuration.
@throws {Error} If the bytes are not a compressed configuration, or are larger than 16 MiB when decompressed.
@example
```ts
unpackConfiguration(bytes).revision;
```
*/
export function unpackConfiguration(bytes: Uint8Array): EffectiveConfiguration {
	const text = inflateRawSync(bytes, {maxOutputLength: maximumConfigurationBytes}).toString('utf8');
	return JSON.parse(text) as EffectiveConfiguration;
}
