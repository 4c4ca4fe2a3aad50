/** A measured value at one size. */
export type Point = {
	readonly size: number;
	readonly value: number;
};

/** A least-squares line through measurements. */
export type LineFit = {
	/** The increase of the value per unit of size. */
	readonly slope: number;
	/** The value at size 0. */
	readonly intercept: number;
	/** The root mean square of the vertical distances between the points and the line, in the unit of the value. */
	readonly residual: number;
};

/**
Fits a line to measurements by least squares.

@param points At least two measurements of different sizes.
@returns The line.
@throws {RangeError} If the points do not have at least two different sizes.
@example
```ts
fitLine([{size: 0, value: 1}, {size: 2, value: 5}]).slope; // 2
```
*/
export function fitLine(points: readonly Point[]): LineFit {
	const meanSize = mean(points.map(({size}) => size));
	const meanValue = mean(points.map(({value}) => value));
	const squaredDeviations = sum(points.map(({size}) => (size - meanSize) ** 2));
	if (!(squaredDeviations > 0)) {
		throw new RangeError(`fitting a line needs points of at least two sizes; got ${points.length} points of one size`);
	}

	const slope = sum(points.map(({size, value}) => (size - meanSize) * (value - meanValue))) / squaredDeviations;
	const intercept = meanValue - (slope * meanSize);
	const residual = Math.sqrt(mean(points.map(({size, value}) => (value - intercept - (slope * size)) ** 2)));
	return {slope, intercept, residual};
}

function mean(values: readonly number[]): number {
	return sum(values) / values.length;
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
