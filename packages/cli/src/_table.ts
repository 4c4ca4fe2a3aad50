type Row = Readonly<Record<string, unknown>>;

const columnSeparator = '  ';

/** Formats rows as aligned columns under upper-case headings. */
export function formatTable(rows: readonly Row[], columns: readonly string[]): readonly string[] {
	const cells = [columns.map(column => column.toUpperCase()), ...rows.map(row => columns.map(column => formatCell(row[column])))];
	const widths = columns.map((_, index) => Math.max(...cells.map(line => line[index]?.length ?? 0)));
	return cells.map(line => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(columnSeparator).trimEnd());
}

/** Formats a value for one cell: strings as they are, other values as JSON. Control characters become question marks, because a terminal could interpret them. */
export function formatCell(value: unknown): string {
	if (value === undefined || value === null) {
		return '-';
	}

	const text = typeof value === 'string' ? value : JSON.stringify(value);
	return text.replaceAll(/\p{Cc}/gv, '?');
}
