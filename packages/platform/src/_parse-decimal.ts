const decimalPattern = /^\d+(?:\.\d+)?$/v;

/** Parses a decimal number without a sign or an exponent; undefined if it is none, or too large for a number. */
export function parseDecimal(value: string): number | undefined {
	const parsed = decimalPattern.test(value) ? Number(value) : Number.NaN;
	return Number.isFinite(parsed) ? parsed : undefined;
}
