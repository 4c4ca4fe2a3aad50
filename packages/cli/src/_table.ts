type Row = Readonly<Record<string, unknown>>;

const gap = '  ';

/** Lays rows out under headings in capitals; a value that isn't plain is written as JSON. */
export function formatTable(rows: readonly Row[], columns: readonly string[]): readonly string[] {
	const cells = [columns.map(column => column.toUpperCase()), ...rows.map(row => columns.map(column => formatCell(row[column])))];
	const widths = columns.map((_, index) => Math.max(...cells.map(line => line[index]?.length ?? 0)));
	return cells.map(line => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(gap).trimEnd());
}

/** Writes a value in one cell; control characters, which could steer a terminal, become question marks. */
export function formatCell(value: unknown): string {
	if (value === undefined || value === null) {
		return '-';
	}

	const text = typeof value === 'string' ? value : JSON.stringify(value);
	return text.replaceAll(/\p{Cc}/gv, '?');
}
