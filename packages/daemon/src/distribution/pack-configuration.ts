import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {type EffectiveConfiguration} from '@valehitch/core';

const maximumConfigurationBytes = 16 * 1024 * 1024;

/**
Packs a configuration for a link: JSON, compressed.

@param effective The configuration.
@returns The bytes.
@example
```ts
const bytes = packConfiguration(effective);
```
*/
export function packConfiguration(effective: EffectiveConfiguration): Uint8Array {
	return deflateRawSync(JSON.stringify(effective));
}

/**
Reads a packed configuration.

@param bytes What `packConfiguration` gave.
@returns The configuration.
@throws {Error} If the bytes are not a packed configuration.
@example
```ts
unpackConfiguration(bytes).revision;
```
*/
export function unpackConfiguration(bytes: Uint8Array): EffectiveConfiguration {
	const text = inflateRawSync(bytes, {maxOutputLength: maximumConfigurationBytes}).toString('utf8');
	return JSON.parse(text) as EffectiveConfiguration;
}
