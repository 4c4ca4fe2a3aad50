import {deflateRawSync} from 'node:zlib';
import {Packr} from 'msgpackr';
import {type ConfigurationDocument} from '../control/gateway-state.js';
import {digestDocument} from './_digest-document.js';
import {diffText, type TextPart} from './diff-text.js';

/** A configuration document, as the changes from an earlier one or as a whole. */
export type EncodedConfiguration = {
	readonly version: number;
	/** The version from which the changes are described; undefined for a whole document. */
	readonly base: number | undefined;
	/** The digest of the document, by which a reader with another base notices it. */
	readonly digest: string;
	/** The parts of the document, as MessagePack compressed with DEFLATE (RFC 1951). */
	readonly parts: Uint8Array;
};

const packr = new Packr({useRecords: false});
/** Documents repeat the names of fields, which the fastest level finds; a slower one takes the loop of the process for longer. */
const compressionLevel = 1;

/**
Encodes a configuration document for an entry instance.

@param document The document.
@param base A document that the reader has; undefined to encode the whole document.
@returns The encoded document.
@example
```ts
encodeConfiguration(newest, held);
```
*/
export function encodeConfiguration({version, document}: ConfigurationDocument, base: ConfigurationDocument | undefined): EncodedConfiguration {
	const parts: readonly TextPart[] = base === undefined ? [document] : diffText(base.document, document);
	return {
		version,
		base: base?.version,
		digest: digestDocument(document),
		parts: new Uint8Array(deflateRawSync(packr.pack(parts), {level: compressionLevel})),
	};
}
