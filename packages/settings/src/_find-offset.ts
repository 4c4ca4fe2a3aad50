import {
	isAlias, isMap, isScalar, isSeq, type Document, type Node, type Pair,
} from 'yaml';
import {type FieldPath, type Finding} from './finding.js';

type NodeStep = {readonly key: unknown; readonly value: unknown};

/** Returns the text offset of the field that a finding refers to. For a missing field, this is the offset of the closest enclosing field that exists. */
export function findOffset(document: Document, finding: Finding): number {
	let node: unknown = document.contents;
	let offset = offsetOf(node) ?? 0;
	for (const [index, pathSegment] of finding.path.entries()) {
		const step = stepInto(resolveAlias(document, node), pathSegment);
		if (step === undefined) {
			return offset;
		}

		const isLast = index === finding.path.length - 1;
		offset = (isLast && !finding.concernsKey ? offsetOf(step.value) : undefined) ?? offsetOf(step.key) ?? offset;
		node = step.value;
	}

	return offset;
}

function resolveAlias(document: Document, node: unknown): unknown {
	return isAlias(node) ? node.resolve(document) : node;
}

function stepInto(node: unknown, pathSegment: FieldPath[number]): NodeStep | undefined {
	if (isSeq(node) && typeof pathSegment === 'number') {
		const value = node.items[pathSegment];
		return value === undefined ? undefined : {key: value, value};
	}

	return isMap(node) ? node.items.find(pair => matchesKey(pair, String(pathSegment))) : undefined;
}

function matchesKey(pair: Pair, key: string): boolean {
	return isScalar(pair.key) && String(pair.key.value) === key;
}

function offsetOf(node: unknown): number | undefined {
	return (node as Node | undefined)?.range?.[0];
}
