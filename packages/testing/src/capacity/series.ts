import {fitLine, type LineFit, type Point} from './fit-line.js';

/** Measurements of one quantity at several sizes, and the line through them. */
export type Series = {
	/** What was measured. */
	readonly quantity: string;
	/** The unit of the values. */
	readonly unit: string;
	/** What the sizes count. */
	readonly per: string;
	readonly points: readonly Point[];
	readonly fit: LineFit;
};

/** What is measured at each size, by the name of the quantity. */
export type SizeFigures = Readonly<Record<string, {readonly value: number; readonly unit: string}>>;

/** One size and the figures found there. */
export type SizedFigures = {
	readonly size: number;
	readonly figures: SizeFigures;
};

/**
Turns figures by size into one series for each quantity.

@param per What the sizes count.
@param measured The figures of each size, at least two sizes.
@returns A series for each quantity of the first size.
@throws {RangeError} Where there are fewer than two sizes.
@example
```ts
seriesOf('known server', [{size: 0, figures}, {size: 150, figures: more}]);
```
*/
export function seriesOf(per: string, measured: readonly SizedFigures[]): readonly Series[] {
	return Object.entries(measured[0]?.figures ?? {}).map(([quantity, {unit}]) => {
		const points = measured.map(({size, figures}) => ({size, value: figures[quantity]?.value ?? Number.NaN}));
		return {
			quantity, unit, per, points, fit: fitLine(points),
		};
	});
}

/**
Writes a series as one line of text.

@param series The series.
@returns Its slope, its value at size 0, its residual and its points.
@example
```ts
formatSeries(series); // 'memory, KB per known server: slope 1.2, at 0 81000, residual 300 (0: 81000, ...)'
```
*/
export function formatSeries({quantity, unit, per, points, fit}: Series): string {
	const listed = points.map(({size, value}) => `${size}: ${formatFigure(value)}`).join(', ');
	return `${quantity}, ${unit} per ${per}: slope ${formatFigure(fit.slope)}, at 0 ${formatFigure(fit.intercept)}, residual ${formatFigure(fit.residual)} (${listed})`;
}

/**
Writes a figure with as many digits as it is worth.

@param value The figure.
@returns It with three significant digits, or without a fraction where it is large.
@example
```ts
formatFigure(0.123456); // '0.123'
```
*/
export function formatFigure(value: number): string {
	return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}
