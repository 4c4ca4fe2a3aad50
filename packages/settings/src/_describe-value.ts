import {type FieldPath} from './finding.js';

const maximumShownCharacters = 60;
const secretKeyPattern = /^keys?$|^keyDigests$/v;

/** Describes a value of a document for a message. Values under keys that hold secrets are redacted to their length. */
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

	return typeof value === 'number' || typeof value === 'boolean' ? describeScalar(value, path) : 'a mapping';
}

function describeScalar(value: number | boolean, path: FieldPath): string {
	return isSecret(path) ? redact(String(value)) : String(value);
}

function describeText(text: string, path: FieldPath): string {
	if (isSecret(path)) {
		return redact(text);
	}

	const hiddenCharacters = text.length - maximumShownCharacters;
	return hiddenCharacters > 0 ? `${JSON.stringify(text.slice(0, maximumShownCharacters))} and ${hiddenCharacters} more characters` : JSON.stringify(text);
}

function redact(text: string): string {
	return `a value of ${text.length} characters`;
}

function isSecret(path: FieldPath): boolean {
	return path.some(step => typeof step === 'string' && secretKeyPattern.test(step));
}
