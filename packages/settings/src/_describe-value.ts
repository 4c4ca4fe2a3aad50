import {type FieldPath} from './finding.js';

const longestShownText = 60;
const secretKey = /^keys?$|^keyDigests$/v;

/** Describes a value of a document for a message; a value under a key that holds secrets is not shown. */
export function describeValue(value: unknown, path: FieldPath): string {
	if (value === undefined || value === null) {
		return 'nothing';
	}

	if (Array.isArray(value)) {
		return `a list of ${value.length}`;
	}

	if (typeof value === 'string') {
		return describeText(value, path);
	}

	return typeof value === 'number' || typeof value === 'boolean' ? describePlain(value, path) : 'a mapping';
}

function describePlain(value: number | boolean, path: FieldPath): string {
	return isSecret(path) ? hidden(String(value)) : String(value);
}

function describeText(text: string, path: FieldPath): string {
	if (isSecret(path)) {
		return hidden(text);
	}

	const more = text.length - longestShownText;
	return more > 0 ? `${JSON.stringify(text.slice(0, longestShownText))} and ${more} characters more` : JSON.stringify(text);
}

function hidden(text: string): string {
	return `a value of ${text.length} characters`;
}

function isSecret(path: FieldPath): boolean {
	return path.some(step => typeof step === 'string' && secretKey.test(step));
}
