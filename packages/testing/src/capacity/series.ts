import {fitLine, type LineFit, type Point} from './fit-line.js';

/** Measurements of one quantity at several sizes, and the line fitted to them. */
export type Series = {
	/** The name of the measured quantity. */
	readonly quantity: string;
	/** The unit of the values. */
	readonly unit: string;
	/** What a size counts, such as `daemon`. */
	readonly per: string;
	readonly points: readonly Point[];
	readonly fit: LineFit;
};

/** The measured quantities at one size, by name. */
export type MeasuredQuantities = Readonly<Record<string, {readonly value: number; readonly unit: string}>>;

/** A size and the quantities measured at it. */
export type SizedMeasurement = {
	readonly size: number;
	readonly quantities: MeasuredQuantities;
};

/**
Groups measurements into one series for each quantity.

@param per What a size counts.
@param measured The measurements, at two or more sizes.
@returns A series for each quantity that was measured at the first size.
@throws {RangeError} If there are fewer than two sizes.
@example
```ts
toSeries('known server', [{size: 0, quantities: base}, {size: 150, quantities: loaded}]);
```
*/
export function toSeries(per: string, measured: readonly SizedMeasurement[]): readonly Series[] {
	return Object.entries(measured[0]?.quantities ?? {}).map(([quantity, {unit}]) => {
		const points = measured.map(({size, quantities}) => ({size, value: quantities[quantity]?.value ?? Number.NaN}));
		return {
			quantity, unit, per, points, fit: fitLine(points),
		};
	});
}

/**
Formats a series as one line of text.

@param series The series.
@returns The slope, the value at size 0, the residual and the points.
@example
```ts
formatSeries(series); // 'memory, KB per known server: slope 1.2, at 0 81000, residual 300 (0: 81000, ...)'
```
*/
export function formatSeries({quantity, unit, per, points, fit}: Series): string {
	const formattedPoints = points.map(({size, value}) => `${size}: ${formatNumber(value)}`).join(', ');
	return `${quantity}, ${unit} per ${per}: slope ${formatNumber(fit.slope)}, at 0 ${formatNumber(fit.intercept)}, residual ${formatNumber(fit.residual)} (${formattedPoints})`;
}

/**
Formats a number with three significant digits, or as an integer from 100 up.

@param value The number.
@returns The formatted number.
@example
```ts
formatNumber(0.123456); // '0.123'
```
*/
export function formatNumber(value: number): string {
	return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}
