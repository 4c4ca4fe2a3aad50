import {inflateRawSync} from 'node:zlib';
import {type Failure, failure} from '@valehitch/core';
import {Packr} from 'msgpackr';
import {type Either, Left, Right} from 'purify-ts';
import {type ConfigurationDocument} from '../control/gateway-state.js';
import {digestDocument} from './_digest-document.js';
import {type TextPart} from './diff-text.js';
import {type EncodedConfiguration} from './encode-configuration.js';
import {joinTextParts} from './join-text-parts.js';

const packr = new Packr({useRecords: false});
/** The longest encoding that is read, in bytes; the longest document that an operator may send is shorter. */
const maximumPartsBytes = 16 * 1024 * 1024;

/**
Decodes a configuration document that {@linkcode encodeConfiguration} has encoded.

@param encoded The encoded document.
@param base The document of the version from which its changes are described; undefined for a whole document.
@returns The document; an `invalid-configuration` failure if the base is another one or the bytes are damaged.
@example
```ts
decodeConfigurationParts(encoded, history.ofVersion(encoded.base));
```
*/
export function decodeConfigurationParts({version, base: baseVersion, digest, parts}: EncodedConfiguration, base: ConfigurationDocument | undefined): Either<Failure, ConfigurationDocument> {
	if (baseVersion !== base?.version) {
		return invalid(`Cannot apply the changes of configuration ${version}: wanted version ${baseVersion} as their base, got ${base?.version}`);
	}

	try {
		const textParts = packr.unpack(inflateRawSync(parts, {maxOutputLength: maximumPartsBytes})) as readonly TextPart[];
		const document = joinTextParts(base?.document ?? '', textParts);
		return document !== undefined && digestDocument(document) === digest
			? Right({version, document})
			: invalid(`The changes of configuration ${version} do not fit version ${baseVersion}`);
	} catch (error) {
		return invalid(`Cannot decode the parts of configuration ${version}: ${String(error)}`);
	}
}

function invalid(message: string): Either<Failure, never> {
	return Left(failure('invalid-configuration', message));
}
