/** A part of a text: new text, or the offset and the length of a part of the base. */
export type TextPart = string | readonly [offset: number, length: number];

type Block = {
	readonly text: string;
	readonly offset: number;
};

/** The end of a block. Texts are configuration documents, in which it ends the record of a route, a service or a workspace. */
const blockEnd = '}';

/**
Describes a text by the parts that it shares with another one and those that are new. Parts are shared by whole blocks, each of which ends with a brace, wherever they stand.

@param base The text that the reader has.
@param target The text to describe.
@returns The parts of the target in order.
@example
```ts
diffText('{"a":1}{"b":2}', '{"c":3}{"b":2}'); // ['{"c":3}', [7, 7]]
```
*/
export function diffText(base: string, target: string): readonly TextPart[] {
	const baseBlocks = splitBlocks(base);
	const indexes = new Map(baseBlocks.map(({text}, index) => [text, index]));
	const parts: TextPart[] = [];
	let following = 0;
	for (const {text} of splitBlocks(target)) {
		// Of several equal blocks, the one that goes on with the part before keeps the part whole.
		const index = baseBlocks[following]?.text === text ? following : indexes.get(text);
		const block = index === undefined ? undefined : baseBlocks[index];
		appendPart(parts, block === undefined ? text : [block.offset, text.length]);
		following = index === undefined ? following : index + 1;
	}

	return parts;
}

function splitBlocks(text: string): readonly Block[] {
	const blocks: Block[] = [];
	let offset = 0;
	while (offset < text.length) {
		const end = text.indexOf(blockEnd, offset);
		const next = end === -1 ? text.length : end + 1;
		blocks.push({text: text.slice(offset, next), offset});
		offset = next;
	}

	return blocks;
}

/** Appends a part, or extends the last one if the two are adjacent. */
function appendPart(parts: TextPart[], part: TextPart): void {
	const last = parts.at(-1);
	if (typeof part === 'string') {
		if (typeof last === 'string') {
			parts[parts.length - 1] = last + part;
			return;
		}
	} else if (typeof last === 'object' && last[0] + last[1] === part[0]) {
		parts[parts.length - 1] = [last[0], last[1] + part[1]];
		return;
	}

	parts.push(part);
}
