// Lists where the lines of the source modules begin in the bundle, so that a profile of the bundled program names them; much smaller than the source map, which is not kept.
const digits = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/';
const digitBits = 5;
const continuation = 0b10_0000;
const firstLine = 0;

/** Decodes the base64 VLQ numbers of a segment of a source map. */
function decodeSegment(segment) {
	const numbers = [];
	let value = 0;
	let shift = 0;
	for (const character of segment) {
		const digit = digits.indexOf(character);
		value += (digit & ~continuation) << shift;
		shift += digitBits;
		if ((digit & continuation) === 0) {
			numbers.push(value & 1 ? -(value >> 1) : value >> 1);
			value = 0;
			shift = 0;
		}
	}

	return numbers;
}

function isLibrary(source) {
	return source.includes('node_modules/');
}

/** Returns the sources of a bundle, and for each place where another line of them begins: the line and column in the bundle, the index of the source and its line, all counted from 0. Libraries are listed without their lines. */
export function locateModules({sources, mappings}) {
	const places = [];
	let source = 0;
	let line = 0;
	for (const [bundleLine, segments] of mappings.split(';').entries()) {
		let column = 0;
		for (const segment of segments.split(',').filter(text => text !== '')) {
			const [columnChange, sourceChange = 0, lineChange = 0] = decodeSegment(segment);
			column += columnChange;
			source += sourceChange;
			line += lineChange;
			const listedLine = isLibrary(sources[source]) ? firstLine : line;
			const last = places.at(-1);
			if (last?.[2] !== source || last[3] !== listedLine) {
				places.push([bundleLine, column, source, listedLine]);
			}
		}
	}

	return {sources, places};
}
