import {
	isAlias, isMap, isScalar, isSeq, type Document, type Node, type Pair,
} from 'yaml';
import {type FieldPath, type Finding} from './finding.js';

type Step = {readonly key: unknown; readonly value: unknown};

/** Finds the offset in the text of the field of a finding; for a missing field, that of the nearest field around it. */
export function locate(document: Document, finding: Finding): number {
	let node: unknown = document.contents;
	let offset = offsetOf(node) ?? 0;
	for (const [index, part] of finding.path.entries()) {
		const step = stepInto(resolve(document, node), part);
		if (step === undefined) {
			return offset;
		}

		const isLast = index === finding.path.length - 1;
		offset = (isLast && !finding.atKey ? offsetOf(step.value) : undefined) ?? offsetOf(step.key) ?? offset;
		node = step.value;
	}

	return offset;
}

function resolve(document: Document, node: unknown): unknown {
	return isAlias(node) ? node.resolve(document) : node;
}

function stepInto(node: unknown, part: FieldPath[number]): Step | undefined {
	if (isSeq(node) && typeof part === 'number') {
		const value = node.items[part];
		return value === undefined ? undefined : {key: value, value};
	}

	return isMap(node) ? node.items.find(pair => hasKey(pair, String(part))) : undefined;
}

function hasKey(pair: Pair, key: string): boolean {
	return isScalar(pair.key) && String(pair.key.value) === key;
}

function offsetOf(node: unknown): number | undefined {
	return (node as Node | undefined)?.range?.[0];
}
