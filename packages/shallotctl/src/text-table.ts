/**
 * Formats text tables for terminals.
 */

export type TableRow = Readonly<Record<string, unknown>>;

const columnGap = '  ';

/**
 * Formats a value as text. Control characters and others of the Unicode category C are replaced by
 * `?`, because values come from the network and are sent to a terminal.
 */
export function formatCell(value: unknown): string {
	const text = typeof value === 'string' ? value : (JSON.stringify(value) ?? '');
	return text.replaceAll(/\p{C}/gu, '?');
}

function columnWidth(lines: readonly string[][], column: number): number {
	let width = 0;
	for (const line of lines) {
		width = Math.max(width, line[column]!.length);
	}

	return width;
}

/**
 * Formats rows as aligned columns with the field names as headers, in the order in which the fields
 * first appear. Linear in the number of cells.
 */
export function formatTable(rows: readonly TableRow[]): string {
	if (rows.length === 0) {
		return '(none)';
	}

	const columns = [...new Set(rows.flatMap(row => Object.keys(row)))];
	const lines = [
		columns.map(column => formatCell(column)),
		...rows.map(row => columns.map(column => formatCell(row[column]))),
	];
	const widths = columns.map((_, index) => columnWidth(lines, index));
	return lines
		.map(line =>
			line
				.map((cell, index) => cell.padEnd(widths[index]!))
				.join(columnGap)
				.trimEnd(),
		)
		.join('\n');
}
