import {type Brand} from './brand.js';

/** An amount of money in millionths of the unit of account, a whole number. */
export type Micros = Brand<number, 'Micros'>;

const tokensPerPricedUnit = 1_000_000;
/** Keeps an amount that is whole but for floating-point error from being rounded up. */
const roundingTolerance = 1e-9;

/** What a version charges, in units of account for a million tokens. */
export type Prices = {
	readonly input: number;
	readonly output: number;
};

/** How many tokens an attempt used. */
export type TokenUsage = {
	readonly input: number;
	readonly output: number;
};

/**
Works out the cost of an attempt, rounded up to a whole millionth.

@param prices Units of account for a million tokens.
@param usage Tokens read and written.
@returns The cost in millionths of the unit of account.
@example
```ts
costOf({input: 0.5, output: 2}, {input: 100, output: 10}); // 70
```
*/
export function costOf(prices: Prices, usage: TokenUsage): Micros {
	const micros = ((prices.input * usage.input) + (prices.output * usage.output)) * 1_000_000 / tokensPerPricedUnit;
	return Math.max(0, Math.ceil(micros - roundingTolerance)) as Micros;
}

/**
Adds amounts of money.

@param amounts The amounts in millionths.
@returns Their sum in millionths.
@example
```ts
sumOf([costOf(prices, first), costOf(prices, second)]);
```
*/
export function sumOf(amounts: Iterable<Micros>): Micros {
	let total = 0;
	for (const amount of amounts) {
		total += amount;
	}

	return total as Micros;
}
