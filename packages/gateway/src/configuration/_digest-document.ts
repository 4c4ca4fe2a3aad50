import {createHash} from 'node:crypto';

/** Returns the SHA-256 digest of a document. */
export function digestDocument(document: string): string {
	return createHash('sha256').update(document).digest('base64');
}
